/**
 * Prints counts that do not depend on the machine, with their upper bounds from bench/bounds.json:
 * comparisons per scheduling decision, and bytes of messages that are sent repeatedly. With
 * `--check`, the exit code is 1 if a count exceeds its bound.
 */
import { readFileSync } from 'node:fs';
import { handleScheduleEvent } from '../src/core/schedule/poolSchedule';
import { makeScheduleTables } from '../src/core/schedule/scheduleTables';
import type { ScheduleConfig } from '../src/core/schedule/scheduleTypes';
import type { Manifest } from '../src/manifest/manifest';
import { diffManifests } from '../src/manifest/manifestDelta';
import {
  Announcement, AskRequest, ClaimRecord, HeartbeatReply, HeartbeatRequest, ReportRequest,
} from '../src/protocol/generated/beechlift';

const DECISION_COUNT = 500;
const HARDWARE_TYPE_COUNT = 3;
const SHA256_HEX_LENGTH = 64;

const config: ScheduleConfig = {
  tiers: {
    door: {
      rank: 0, firstTokenMs: 1_000, totalMs: 60_000, headroom: 0.1,
    },
  },
  accounts: {
    a: {
      keyHashes: [], tiers: ['door'], concurrency: 100_000, tokensPerMinute: 0, weight: 1,
    },
  },
  models: {},
  pools: {},
  limits: {
    bodyBytes: 1,
    answerBytes: 1,
    queuePerPool: 100_000,
    workersPerPool: 10_000,
    loadsPerMinute: 60,
    claimRetentionMs: 1,
    locateMs: 1,
  },
};

/** Mean number of workers compared per decision in a pool of the given size. */
const countComparisons = (workers: number): number => {
  const tables = makeScheduleTables('engines', config, [], 0);
  Array.from({ length: workers }).forEach((unused, position) => handleScheduleEvent(tables, {
    kind: 'announce',
    announcement: Announcement.fromPartial({
      id: `w${position}`,
      hardware: `h${position % HARDWARE_TYPE_COUNT}`,
      zone: 'az-1',
      models: ['guide'],
      slots: 8,
      state: 'ready',
    }),
  }, 0));
  Array.from({ length: DECISION_COUNT }).forEach((unused, position) => {
    handleScheduleEvent(tables, {
      kind: 'ask',
      ask: AskRequest.fromPartial({
        requestId: `r${position}`,
        tier: 'door',
        account: 'a',
        target: 'guide',
        promptTokens: 200,
        maxTokens: 20,
        deadlineMs: 60_000,
        prefixes: [`p${position % 20}`],
      }),
    }, position);
    handleScheduleEvent(tables, {
      kind: 'report',
      report: ReportRequest.fromPartial({
        requestId: `r${position - 40}`,
        phase: 'finished',
        outcome: 'complete',
        firstTokenMs: 20,
        totalMs: 200,
        outputTokens: 20,
      }),
    }, position);
  });
  return tables.comparisons / DECISION_COUNT;
};

const digest = 'a'.repeat(SHA256_HEX_LENGTH);
const member = {
  id: 'entry-101',
  incarnation: '0a1b2c3d-0a1b-2c3d-4e5f-0a1b2c3d4e5f',
  peerAddress: '10.20.30.40:7100',
  callerAddress: '10.20.30.40:7000',
  zone: 'az-21',
  state: 'active',
};
const replicas = Array.from({ length: 5 }, (unused, position) => ({ id: `c${position}`, address: '10.20.30.41:7200', zone: 'az-21' }));

const makeManifest = (accounts: number, version: number): Manifest => ({
  version,
  operators: {},
  tiers: config.tiers,
  accounts: Object.fromEntries(Array.from({ length: accounts }, (unused, position) => [`account-${position}`, {
    keyHashes: [digest],
    tiers: ['door', 'guide'],
    concurrency: position === 7 ? version : 64,
    tokensPerMinute: 0,
    weight: 1,
  }])),
  models: {},
  services: {},
  pools: {},
  migration: {},
  limits: config.limits,
});

const measureDeltaBytes = (accounts: number): number => {
  const changes = diffManifests(makeManifest(accounts, 1), makeManifest(accounts, 2));
  return HeartbeatReply.encode(HeartbeatReply.fromPartial({
    leaseMs: 3_000,
    manifestVersion: 2,
    manifestDigest: digest,
    viewNumber: 9,
    holders: { number: 3, current: replicas, previous: [] },
    delta: { baseVersion: 1, baseDigest: digest, changes },
  })).finish().length;
};

const counts: Readonly<Record<string, number>> = {
  'comparisons per decision, 10 workers': countComparisons(10),
  'comparisons per decision, 100 workers': countComparisons(100),
  'comparisons per decision, 1,000 workers': countComparisons(1_000),
  'comparisons per decision, 3,000 workers': countComparisons(3_000),
  'bytes of a heartbeat': HeartbeatRequest.encode({
    member, manifestVersion: 12_345, manifestDigest: digest, viewNumber: 999,
  }).finish().length,
  'bytes of an unchanged answer to a heartbeat': HeartbeatReply.encode(HeartbeatReply.fromPartial({
    leaseMs: 3_000,
    manifestVersion: 12_345,
    manifestDigest: digest,
    viewNumber: 999,
    holders: { number: 3, current: replicas, previous: [] },
  })).finish().length,
  'bytes of one change among 100 accounts': measureDeltaBytes(100),
  'bytes of one change among 13,000 accounts': measureDeltaBytes(13_000),
  'bytes of a view of 340 entries': HeartbeatReply.encode(HeartbeatReply.fromPartial({
    view: { number: 9, members: Array.from({ length: 340 }, () => member) },
  })).finish().length,
  'bytes of a dispatched claim': ClaimRecord.encode(ClaimRecord.fromPartial({
    key: `kiosks\n${member.incarnation}`,
    promised: { round: 1, proposer: `entry-101:${member.incarnation}:12345` },
    accepted: { round: 1, proposer: `entry-101:${member.incarnation}:12345` },
    value: {
      state: 'dispatched',
      bodyHash: 'a'.repeat(27),
      workerId: 'worker-1001',
      workerAddress: '10.20.30.40:7000',
      streamId: member.incarnation,
      target: 'guide',
      canResume: true,
      workerIncarnation: member.incarnation,
    },
  })).finish().length,
};

const bounds = JSON.parse(readFileSync('bench/bounds.json', 'utf8')) as Record<string, number>;
const rows = Object.entries(counts)
  .map(([name, count]) => ({ name, count, bound: bounds[name] ?? 0 }));
const exceeded = rows.filter(({ count, bound }) => count > bound);

rows.forEach(({ name, count, bound }) => {
  console.log(`${name}: ${count} (at most ${bound})${count > bound ? '  EXCEEDED' : ''}`);
});
if (process.argv.includes('--check') && exceeded.length > 0) process.exitCode = 1;
