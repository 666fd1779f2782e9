import { handleScheduleEvent } from '../../src/core/schedule/poolSchedule';
import { makeScheduleTables } from '../../src/core/schedule/scheduleTables';
import type {
  ScheduleConfig, ScheduleEffect, ScheduleTables,
} from '../../src/core/schedule/scheduleTypes';
import { Announcement, AskRequest, ReportRequest } from '../../src/protocol/generated/beechlift';

export const TIERS = ['door', 'guide', 'history'];

export const config: ScheduleConfig = {
  tiers: Object.fromEntries(TIERS.map((name, rank) => [name, {
    rank, firstTokenMs: 500, totalMs: 5_000, headroom: rank === 0 ? 0.2 : 0,
  }])),
  accounts: Object.fromEntries(['a', 'b', 'c'].map((name) => [name, {
    keyHashes: [], tiers: TIERS, concurrency: 40, tokensPerMinute: 0, weight: 1,
  }])),
  models: {},
  pools: {},
  limits: {
    bodyBytes: 1,
    answerBytes: 1,
    queuePerPool: 120,
    workersPerPool: 10,
    loadsPerMinute: 60,
    claimRetentionMs: 1,
    locateMs: 1,
  },
};

export const makeTables = (
  unregistered: string[] = [],
  settledAt = 0,
  sections: Partial<ScheduleConfig> = {},
): ScheduleTables => (
  makeScheduleTables('engines', { ...config, ...sections }, unregistered, settledAt)
);

export const announce = (
  tables: ScheduleTables,
  id: string,
  slots: number,
  now: number,
  fields: Partial<Announcement> = {},
) => handleScheduleEvent(tables, {
  kind: 'announce',
  announcement: Announcement.fromPartial({
    id, slots, pool: 'engines', address: id, hardware: 'fast', models: ['guide'], state: 'ready', ...fields,
  }),
}, now);

export const ask = (
  tables: ScheduleTables,
  requestId: string,
  tier: string,
  now: number,
  fields: Partial<AskRequest> = {},
) => handleScheduleEvent(tables, {
  kind: 'ask',
  ask: AskRequest.fromPartial({
    requestId, tier, account: 'a', target: 'guide', entryId: 'e1', promptTokens: 100, maxTokens: 20, deadlineMs: 5_000, ...fields,
  }),
}, now);

export const finish = (
  tables: ScheduleTables,
  requestId: string,
  now: number,
  totalMs = 200,
  outcome = 'complete',
) => handleScheduleEvent(tables, {
  kind: 'report',
  report: ReportRequest.fromPartial({
    requestId, phase: 'finished', outcome, firstTokenMs: 10, totalMs, outputTokens: 20,
  }),
}, now);

export const listKinds = (effects: readonly ScheduleEffect[]): string[] => effects
  .map((effect) => `${effect.kind} ${effect.kind === 'order' ? effect.workerId : effect.requestId}`);
