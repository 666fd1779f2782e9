import type {
  AskRequest, RegisterRequest, ReportRequest, RunningRequest,
} from '../../protocol/generated/beechlift';
import {
  findLimitReason, releaseAccountUsage, addAccountUsage,
} from './accountUsage';
import { handleAnnouncement } from './announcements';
import { addWaiting, removeWaiting } from './fairQueue';
import { runGrantSystem } from './grantSystem';
import { estimateOutputTokens, updateOutputEstimate } from './lengthModel';
import { updateDesiredState } from './orderState';
import { handleOrderAnswer, handleNewView, runOrderSystem } from './orderSystem';
import { addRunning, findRank, removeRunning } from './scheduleTables';
import { estimateTotalMs, updateSpeed } from './speedModel';
import { computeQueueRetryAfterMs, isDeadlineUnreachable, runShedSystem } from './shedSystem';
import {
  updateSlowness, runExpirySystem, runPeakDecaySystem, runStragglerSystem,
} from './workerSystems';
import { handleReached, handleUnreachable, runReachSystem } from './workerReach';
import type {
  RunningEntity, ScheduleEffect, ScheduleEvent, ScheduleStep, ScheduleTables, WaitingEntity,
} from './scheduleTypes';

/** Weight of one sample in the smoothed service time. */
const SERVICE_SMOOTHING = 0.1;
/** How long after its grant a request may be missing from the registrations of its entry. */
const REGISTER_GRACE_MS = 5_000;

const makeWaiting = ({ tables, now }: ScheduleStep, ask: AskRequest): WaitingEntity => {
  const outputTokens = estimateOutputTokens(tables.lengths, ask, ask.maxTokens);
  return {
    ask,
    rank: findRank(tables, ask.tier),
    askedAt: now,
    deadlineAt: now + ask.deadlineMs,
    firstTokenDeadlineAt: now + Math.min(
      ask.deadlineMs,
      tables.config.tiers[ask.tier]?.firstTokenMs ?? ask.deadlineMs,
    ),
    cost: ask.promptTokens + outputTokens,
    outputTokens,
  };
};

const refuseRequest = (
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
    retryAfterMs: computeQueueRetryAfterMs(step.tables, waiting, step.now),
  });
};

/** @param unused tokens that were charged to the account and are refunded */
const releaseRunning = (
  { tables, now }: ScheduleStep,
  running: RunningEntity,
  unused = 0,
): void => {
  removeRunning(tables, running.requestId, now);
  releaseAccountUsage(tables, running.account, unused);
};

/** Finds the number of the newest slot request; undefined when the request id is unknown. */
const findAskNumber = (
  { waiting, running }: ScheduleTables,
  requestId: string,
): number | undefined => (
  waiting.get(requestId)?.ask.askNumber ?? running.get(requestId)?.askNumber
);

/*
 * Guards against a grant that was lost with its connection: the entry requests a slot again, while
 * the earlier slot would stay occupied and the request would never be answered. An entry requests a
 * slot only for requests that hold none, so the earlier slot is released. A request that is still
 * waiting keeps its position in the queue.
 */
const releaseLostGrant = (step: ScheduleStep, { requestId }: AskRequest): void => {
  const running = step.tables.running.get(requestId);
  if (running) releaseRunning(step, running, running.cost);
};

const handleSlotRequest = (step: ScheduleStep, ask: AskRequest): void => {
  const { tables, now } = step;
  const knownAskNumber = findAskNumber(tables, ask.requestId);
  if (knownAskNumber !== undefined && knownAskNumber >= ask.askNumber) return;
  const queued = tables.waiting.get(ask.requestId);
  if (queued) {
    queued.ask = ask;
    return;
  }
  releaseLostGrant(step, ask);
  const waiting = makeWaiting(step, ask);
  const reason = findLimitReason(tables, ask.account, waiting.cost, now);
  if (reason !== undefined) {
    refuseRequest(step, waiting, 'accountLimited', reason);
    return;
  }
  if (isDeadlineUnreachable(tables, waiting, now)) {
    refuseRequest(step, waiting, 'noSlotInTime', `pool "${tables.pool}" is not expected to have a free slot before the deadline of tier "${ask.tier}"`);
    return;
  }
  addAccountUsage(tables, ask.account, waiting.cost);
  addWaiting(tables, waiting);
};

const updateEstimates = (
  step: ScheduleStep,
  running: RunningEntity,
  report: ReportRequest,
): void => {
  const { tables, now } = step;
  const worker = tables.workers.get(running.workerId);
  if (!worker || report.outcome !== 'complete') return;
  updateOutputEstimate(tables.lengths, running, report.outputTokens);
  const expected = estimateTotalMs(
    tables.speeds,
    worker.hardware,
    running.batch,
    running.promptTokens,
    report.outputTokens,
  );
  updateSlowness(tables, worker, report.totalMs / Math.max(1, expected));
  if (worker.loadLevel === 'steady') {
    updateSpeed(tables.speeds, {
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
 * Tables that are indexed with a value from the wire are maps, in which a key such as `__proto__`
 * has no value.
 */
const reachHandlers: ReadonlyMap<string, typeof handleReached> = new Map([
  ['unreachable', handleUnreachable],
  ['complete', handleReached],
  ['failed', handleReached],
]);

const endRequest = (step: ScheduleStep, report: ReportRequest): void => {
  const { tables, now } = step;
  const waiting = removeWaiting(tables, report.requestId);
  if (waiting) releaseAccountUsage(tables, waiting.ask.account, waiting.cost);
  const running = removeRunning(tables, report.requestId, now);
  if (!running) return;
  const used = running.promptTokens + report.outputTokens;
  releaseAccountUsage(
    tables,
    running.account,
    report.phase === 'dropped' ? running.cost : running.cost - used,
  );
  updateEstimates(step, running, report);
  reachHandlers.get(report.outcome)?.(step, running);
};

const startRequest = (step: ScheduleStep, report: ReportRequest): void => {
  const running = step.tables.running.get(report.requestId);
  if (!running) return;
  running.started = true;
  handleReached(step, running);
};

type PhaseHandler = (step: ScheduleStep, report: ReportRequest) => void;

const phaseHandlers: ReadonlyMap<string, PhaseHandler> = new Map([
  ['started', startRequest],
  ['finished', endRequest],
  ['dropped', endRequest],
]);

/*
 * Ignores a report about an earlier slot request with the same id. It can arrive late on another
 * connection and would release the slot of the newer slot request.
 */
const handleReport = (step: ScheduleStep, report: ReportRequest): void => {
  const knownAskNumber = findAskNumber(step.tables, report.requestId);
  if (knownAskNumber !== undefined && knownAskNumber > report.askNumber) return;
  phaseHandlers.get(report.phase)?.(step, report);
};

const registerOne = (step: ScheduleStep, entryId: string, item: RunningRequest): void => {
  const { tables, now } = step;
  if (tables.running.has(item.requestId)) return;
  addAccountUsage(tables, item.account, item.promptTokens);
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
 * Guards against slots that stay occupied forever because the report of a finished request was
 * lost. Every few seconds, an entry registers all requests that it runs; requests that it no longer
 * lists have ended. Recent grants are kept, because the entry may not have received them yet.
 */
const releaseUnreported = (step: ScheduleStep, register: RegisterRequest): void => {
  const reported = new Set(register.running.map(({ requestId }) => requestId));
  [...step.tables.running.values()]
    .filter((running) => running.entryId === register.entryId && !reported.has(running.requestId))
    .filter((running) => step.now - running.grantedAt > REGISTER_GRACE_MS)
    .forEach((running) => releaseRunning(step, running));
};

const handleRegister = (step: ScheduleStep, register: RegisterRequest): void => {
  register.running.forEach((item) => registerOne(step, register.entryId, item));
  releaseUnreported(step, register);
  step.tables.unregisteredEntries.delete(register.entryId);
};

const dropWaiting = ({ tables }: ScheduleStep, waiting: WaitingEntity): void => {
  removeWaiting(tables, waiting.ask.requestId);
  releaseAccountUsage(tables, waiting.ask.account, waiting.cost);
};

/** Releases the slots and the waiting requests of entries that are no longer in the view. */
const handleMembersChanged = (step: ScheduleStep, entryIds: readonly string[]): void => {
  const { tables } = step;
  const entries = new Set(entryIds);
  handleNewView(step);
  [...tables.running.values()]
    .filter(({ entryId }) => !entries.has(entryId))
    .forEach((running) => releaseRunning(step, running));
  [...tables.waiting.values()]
    .filter(({ ask }) => !entries.has(ask.entryId))
    .forEach((waiting) => dropWaiting(step, waiting));
  [...tables.unregisteredEntries]
    .filter((id) => !entries.has(id))
    .forEach((id) => tables.unregisteredEntries.delete(id));
};

const runTickSystems = (step: ScheduleStep): void => {
  runExpirySystem(step);
  runReachSystem(step);
  runStragglerSystem(step);
  runPeakDecaySystem(step);
  runOrderSystem(step);
  runShedSystem(step);
};

type Handlers = { [Kind in ScheduleEvent['kind']]: (
  step: ScheduleStep, event: Extract<ScheduleEvent, { kind: Kind }>,
) => void };

const eventHandlers: Handlers = {
  ask: (step, event) => handleSlotRequest(step, event.ask),
  report: (step, event) => handleReport(step, event.report),
  register: (step, event) => handleRegister(step, event.register),
  announce: (step, event) => handleAnnouncement(step, event.announcement),
  configure: (step, event) => {
    step.tables.config = event.config;
    updateDesiredState(step.tables);
  },
  membersChanged: (step, event) => handleMembersChanged(step, event.entryIds),
  orderAnswered: (step, event) => handleOrderAnswer(step, event.result),
  tick: (step) => runTickSystems(step),
};

/**
 * Handles one event of a pool and then grants the free slots.
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
