import type {
  AskRequest, RegisterRequest, ReportRequest, RunningRequest,
} from '../../protocol/generated/beechlift';
import {
  findLimitReason, releaseAccountUse, takeAccountUse,
} from './accountUse';
import { handleAnnouncement } from './announcements';
import { addWaiting, removeWaiting } from './fairQueue';
import { runGrantSystem } from './grantSystem';
import { estimateOutputTokens, learnOutputTokens } from './lengthModel';
import { updateDesired } from './orderBook';
import { handleOrderAnswer, noteNewView, runOrderSystem } from './orderSystem';
import { addRunning, findRank, removeRunning } from './scheduleTables';
import { estimateTotalMs, learnSpeed } from './speedModel';
import { computeRetryMs, isHopeless, runShedSystem } from './shedSystem';
import {
  learnSlowness, runExpirySystem, runPeakSystem, runStragglerSystem,
} from './workerSystems';
import { noteReached, noteUnreached, runReachSystem } from './workerReach';
import type {
  RunningEntity, ScheduleEffect, ScheduleEvent, ScheduleStep, ScheduleTables, WaitingEntity,
} from './scheduleTypes';

const SERVICE_SMOOTHING = 0.1;
const REGISTER_GRACE_MS = 5_000;

const makeWaiting = ({ tables, now }: ScheduleStep, ask: AskRequest): WaitingEntity => {
  const outputTokens = estimateOutputTokens(tables.lengths, ask, ask.maxTokens);
  return {
    ask,
    rank: findRank(tables, ask.tier),
    askedAt: now,
    deadlineAt: now + ask.deadlineMs,
    firstTokenAt: now + Math.min(
      ask.deadlineMs,
      tables.config.tiers[ask.tier]?.firstTokenMs ?? ask.deadlineMs,
    ),
    cost: ask.promptTokens + outputTokens,
    outputTokens,
  };
};

const refuseNewcomer = (
  step: ScheduleStep,
  waiting: WaitingEntity,
  code: 'accountLimited' | 'noSlotInTime',
  message: string,
): void => {
  step.effects.push({
    kind: 'refuse',
    requestId: waiting.ask.requestId,
    code,
    message,
    retryAfterMs: computeRetryMs(step.tables, waiting, step.now),
  });
};

/** @param unused tokens that were charged to the account and are given back */
const freeRunning = ({ tables, now }: ScheduleStep, running: RunningEntity, unused = 0): void => {
  removeRunning(tables, running.requestId, now);
  releaseAccountUse(tables, running.account, unused);
};

/** Number of the newest question for a request; undefined for one that is not known here. */
const findAskNumber = (
  { waiting, running }: ScheduleTables,
  requestId: string,
): number | undefined => (
  waiting.get(requestId)?.ask.askNumber ?? running.get(requestId)?.askNumber
);

/*
 * Guards a request whose grant was lost with the connection that carried it: its entry asks again,
 * and the slot that it never heard of would stay taken while the request is never answered. An
 * entry asks only for what holds no slot there, so that slot is free. One that still waits keeps
 * its place.
 */
const freeUnheardGrant = (step: ScheduleStep, { requestId }: AskRequest): void => {
  const running = step.tables.running.get(requestId);
  if (running) freeRunning(step, running, running.cost);
};

const handleAsk = (step: ScheduleStep, ask: AskRequest): void => {
  const { tables, now } = step;
  const known = findAskNumber(tables, ask.requestId);
  if (known !== undefined && known >= ask.askNumber) return;
  const placed = tables.waiting.get(ask.requestId);
  if (placed) {
    placed.ask = ask;
    return;
  }
  freeUnheardGrant(step, ask);
  const waiting = makeWaiting(step, ask);
  const limit = findLimitReason(tables, ask.account, waiting.cost, now);
  if (limit !== undefined) {
    refuseNewcomer(step, waiting, 'accountLimited', limit);
    return;
  }
  if (isHopeless(tables, waiting, now)) {
    refuseNewcomer(step, waiting, 'noSlotInTime', `the backlog of pool "${tables.pool}" leaves no slot before the deadline of tier "${ask.tier}"`);
    return;
  }
  takeAccountUse(tables, ask.account, waiting.cost);
  addWaiting(tables, waiting);
};

const learnFromReport = (
  step: ScheduleStep,
  running: RunningEntity,
  report: ReportRequest,
): void => {
  const { tables, now } = step;
  const worker = tables.workers.get(running.workerId);
  if (!worker || report.outcome !== 'complete') return;
  learnOutputTokens(tables.lengths, running, report.outputTokens);
  const expected = estimateTotalMs(
    tables.speeds,
    worker.hardware,
    running.batch,
    running.promptTokens,
    report.outputTokens,
  );
  learnSlowness(tables, worker, report.totalMs / Math.max(1, expected));
  if (worker.pace === 'steady') {
    learnSpeed(tables.speeds, {
      hardware: worker.hardware,
      batch: running.batch,
      promptTokens: running.promptTokens,
      outputTokens: report.outputTokens,
      firstTokenMs: report.firstTokenMs,
      totalMs: report.totalMs,
    });
  }
  tables.meanServiceMs += SERVICE_SMOOTHING * (now - running.grantedAt - tables.meanServiceMs);
};

/*
 * Tables that are looked up with a word from the wire are maps: a word such as `__proto__` finds
 * nothing in them.
 */
const reachHandlers: ReadonlyMap<string, typeof noteReached> = new Map([
  ['unreachable', noteUnreached],
  ['complete', noteReached],
  ['failed', noteReached],
]);

const endRequest = (step: ScheduleStep, report: ReportRequest): void => {
  const { tables, now } = step;
  const waiting = removeWaiting(tables, report.requestId);
  if (waiting) releaseAccountUse(tables, waiting.ask.account, waiting.cost);
  const running = removeRunning(tables, report.requestId, now);
  if (!running) return;
  const used = running.promptTokens + report.outputTokens;
  releaseAccountUse(
    tables,
    running.account,
    report.phase === 'dropped' ? running.cost : running.cost - used,
  );
  learnFromReport(step, running, report);
  reachHandlers.get(report.outcome)?.(step, running);
};

const startRequest = (step: ScheduleStep, report: ReportRequest): void => {
  const running = step.tables.running.get(report.requestId);
  if (!running) return;
  running.started = true;
  noteReached(step, running);
};

type PhaseHandler = (step: ScheduleStep, report: ReportRequest) => void;

const phaseHandlers: ReadonlyMap<string, PhaseHandler> = new Map([
  ['started', startRequest],
  ['finished', endRequest],
  ['dropped', endRequest],
]);

/*
 * Guards a newer question against a report of the one before, which came later on another
 * connection: it would end a slot that was granted since.
 */
const handleReport = (step: ScheduleStep, report: ReportRequest): void => {
  const known = findAskNumber(step.tables, report.requestId);
  if (known !== undefined && known > report.askNumber) return;
  phaseHandlers.get(report.phase)?.(step, report);
};

const registerOne = (step: ScheduleStep, entryId: string, item: RunningRequest): void => {
  const { tables, now } = step;
  if (tables.running.has(item.requestId)) return;
  takeAccountUse(tables, item.account, item.promptTokens);
  addRunning(tables, {
    requestId: item.requestId,
    entryId,
    workerId: item.workerId,
    rank: findRank(tables, item.tier),
    account: item.account,
    target: item.target,
    tier: item.tier,
    promptTokens: item.promptTokens,
    cost: item.promptTokens,
    askNumber: 0,
    grantedAt: now,
    batch: 1,
    expectedFirstTokenMs: 0,
    started: true,
    late: true,
  });
};

/*
 * Guards against slots that stay taken for good because the report of an end was lost: an entry
 * tells all that it runs every few seconds, and what it no longer names is over. A grant that is
 * younger than its way there and back is left alone.
 */
const freeForgotten = (step: ScheduleStep, register: RegisterRequest): void => {
  const named = new Set(register.running.map(({ requestId }) => requestId));
  [...step.tables.running.values()]
    .filter((running) => running.entryId === register.entryId && !named.has(running.requestId))
    .filter((running) => step.now - running.grantedAt > REGISTER_GRACE_MS)
    .forEach((running) => freeRunning(step, running));
};

const handleRegister = (step: ScheduleStep, register: RegisterRequest): void => {
  register.running.forEach((item) => registerOne(step, register.entryId, item));
  freeForgotten(step, register);
  step.tables.unregistered.delete(register.entryId);
};

const dropWaiting = ({ tables }: ScheduleStep, waiting: WaitingEntity): void => {
  removeWaiting(tables, waiting.ask.requestId);
  releaseAccountUse(tables, waiting.ask.account, waiting.cost);
};

/** Requests of an entry that is gone hold no slot, and no entry that is gone is waited for. */
const handleMembersChanged = (step: ScheduleStep, entryIds: readonly string[]): void => {
  const { tables } = step;
  const present = new Set(entryIds);
  noteNewView(step);
  [...tables.running.values()]
    .filter(({ entryId }) => !present.has(entryId))
    .forEach((running) => freeRunning(step, running));
  [...tables.waiting.values()]
    .filter(({ ask }) => !present.has(ask.entryId))
    .forEach((waiting) => dropWaiting(step, waiting));
  [...tables.unregistered]
    .filter((id) => !present.has(id))
    .forEach((id) => tables.unregistered.delete(id));
};

const runTickSystems = (step: ScheduleStep): void => {
  runExpirySystem(step);
  runReachSystem(step);
  runStragglerSystem(step);
  runPeakSystem(step);
  runOrderSystem(step);
  runShedSystem(step);
};

type Handlers = { [Kind in ScheduleEvent['kind']]: (
  step: ScheduleStep, event: Extract<ScheduleEvent, { kind: Kind }>,
) => void };

const eventHandlers: Handlers = {
  ask: (step, event) => handleAsk(step, event.ask),
  report: (step, event) => handleReport(step, event.report),
  register: (step, event) => handleRegister(step, event.register),
  announce: (step, event) => handleAnnouncement(step, event.announcement),
  configure: (step, event) => {
    step.tables.config = event.config;
    updateDesired(step.tables);
  },
  membersChanged: (step, event) => handleMembersChanged(step, event.entryIds),
  orderAnswered: (step, event) => handleOrderAnswer(step, event.result),
  tick: (step) => runTickSystems(step),
};

/**
 * Runs one event through the owner of a pool, then grants what can be granted.
 *
 * @example
 * const effects = handleScheduleEvent(tables, { kind: 'ask', ask }, clock.now());
 */
export const handleScheduleEvent = (
  tables: ScheduleTables,
  event: ScheduleEvent,
  now: number,
): ScheduleEffect[] => {
  const step: ScheduleStep = { tables, now, effects: [] };
  const handler = eventHandlers[event.kind] as (step: ScheduleStep, event: ScheduleEvent) => void;
  handler(step, event);
  runGrantSystem(step);
  return step.effects;
};
