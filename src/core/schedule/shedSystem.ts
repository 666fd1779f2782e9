import { releaseAccountUsage } from './accountUsage';
import { countAhead, countAheadInRank, removeWaiting } from './fairQueue';
import { estimateGrantIntervalMs } from './grantRate';
import { estimateTotalMs } from './speedModel';
import type { ResultCode } from '../../errors/resultCodes';
import type { ScheduleStep, ScheduleTables, WaitingEntity } from './scheduleTypes';

const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 30_000;
/** Time after which a waiting request without any reachable worker is refused, in milliseconds. */
const NO_WORKER_TIMEOUT_MS = 3_000;

const estimateSlotWaitMs = (tables: ScheduleTables, ahead: number): number => (
  ((ahead + 1) * tables.meanServiceMs) / Math.max(1, tables.index.slots)
);

/**
 * Estimates how long a request waits for its slot, as the maximum of two estimates: one from the
 * number of slots, and one from the recent grant rate of its tier, because more requests of higher
 * tiers arrive while it waits.
 *
 * @example
 * const retryAfterMs = estimateWaitMs(tables, waiting, now);
 */
export const estimateWaitMs = (
  tables: ScheduleTables,
  { rank, ask }: WaitingEntity,
  now: number,
): number => {
  const { slots, used } = tables.index;
  const ahead = countAhead(tables, rank, ask.account);
  if (used + ahead < slots) return 0;
  const inRank = countAheadInRank(tables, rank, ask.account);
  const bySlots = estimateSlotWaitMs(tables, ahead);
  if (inRank === 0) return bySlots;
  return Math.max(bySlots, (inRank + 1) * estimateGrantIntervalMs(tables, rank, now));
};

/** Computes the retry time to send with a refusal, in milliseconds. */
export const computeQueueRetryAfterMs = (
  tables: ScheduleTables,
  waiting: WaitingEntity,
  now: number,
): number => {
  const waitMs = estimateWaitMs(tables, waiting, now);
  return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)));
};

const hasLowerTierRunning = (tables: ScheduleTables, rank: number): boolean => (
  [...tables.runningByRank].some(([other, count]) => other > rank && count > 0)
);

const isLowestRank = (tables: ScheduleTables, rank: number): boolean => (
  Object.values(tables.config.tiers).every((tier) => tier.rank <= rank)
);

/*
 * Guards against tier inversion: a tier may be refused for lack of capacity only if no request of a
 * lower tier holds a slot. After a takeover this is certain only when every entry has registered
 * its running requests and grants of the earlier owner can no longer start. The lowest tier may
 * always be refused.
 */
export const canShed = (tables: ScheduleTables, rank: number, now: number): boolean => {
  if (tables.policy.name !== 'owner' || isLowestRank(tables, rank)) return true;
  const isSettled = tables.unregisteredEntries.size === 0 && now >= tables.settledAt;
  return isSettled && !hasLowerTierRunning(tables, rank);
};

/** Refuses a waiting request immediately and removes it from the queue. */
export const refuseWaiting = (
  step: ScheduleStep,
  waiting: WaitingEntity,
  code: ResultCode,
  message: string,
): void => {
  const { tables, now } = step;
  removeWaiting(tables, waiting.ask.requestId);
  releaseAccountUsage(tables, waiting.ask.account, waiting.cost);
  step.effects.push({
    kind: 'refuse',
    requestId: waiting.ask.requestId,
    code,
    message,
    retryAfterMs: computeQueueRetryAfterMs(tables, waiting, now),
  });
};

/** Estimates the shortest processing time of a request on any hardware type, in milliseconds. */
const estimateMinimumMs = (
  tables: ScheduleTables,
  { ask, outputTokens }: WaitingEntity,
): number => {
  const promptTokens = ask.prefixes.length > 0 ? 0 : ask.promptTokens;
  const times = [...tables.speeds.keys()].map((hardware) => (
    estimateTotalMs(tables.speeds, hardware, 1, promptTokens, outputTokens)));
  return Math.min(...times);
};

/**
 * Whether a request can still be answered before its deadlines if it waits `waitMs` for its slot.
 */
const canMeetDeadline = (
  tables: ScheduleTables,
  waiting: WaitingEntity,
  waitMs: number,
  now: number,
): boolean => {
  const startAt = now + waitMs;
  if (tables.speeds.size === 0) return startAt <= waiting.deadlineAt;
  return startAt <= waiting.firstTokenDeadlineAt
    && startAt + estimateMinimumMs(tables, waiting) <= waiting.deadlineAt;
};

const shedLate = (step: ScheduleStep, waiting: WaitingEntity): void => {
  const { tables, now } = step;
  if (canMeetDeadline(tables, waiting, 0, now) || !canShed(tables, waiting.rank, now)) return;
  refuseWaiting(step, waiting, 'noSlotInTime', `no slot in pool "${tables.pool}" for tier "${waiting.ask.tier}" before the deadline`);
};

const shedWithoutWorker = (step: ScheduleStep, waiting: WaitingEntity): void => {
  const { tables, now } = step;
  if (
    now - waiting.askedAt < NO_WORKER_TIMEOUT_MS || !tables.waiting.has(waiting.ask.requestId)
  ) return;
  const isServed = [...tables.workers.values()]
    .filter((worker) => !worker.leaving && worker.reach !== 'suspended')
    .some((worker) => worker.targets.includes(waiting.ask.target));
  if (isServed || !canShed(tables, waiting.rank, now)) return;
  refuseWaiting(step, waiting, 'noBackend', `no available backend server of pool "${tables.pool}" serves "${waiting.ask.target}"`);
};

/** Sorts requests in the order of shedding: lowest tier, then longest prompt, then newest. */
const compareForShedding = (a: WaitingEntity, b: WaitingEntity): number => b.rank - a.rank
  || b.ask.promptTokens - a.ask.promptTokens
  || b.askedAt - a.askedAt;

const shedOverflow = (step: ScheduleStep): void => {
  const { tables, now } = step;
  const excess = tables.waiting.size - tables.config.limits.queuePerPool;
  if (excess <= 0) return;
  [...tables.waiting.values()]
    .sort(compareForShedding)
    .slice(0, excess)
    .filter((waiting) => canShed(tables, waiting.rank, now))
    .forEach((waiting) => refuseWaiting(step, waiting, 'queueFull', `${tables.config.limits.queuePerPool} requests are already waiting in pool "${tables.pool}"`));
};

/**
 * Refuses waiting requests that can no longer meet their deadline, have no reachable worker or
 * exceed the queue limit, unless that would cause a tier inversion.
 *
 * @example
 * runShedSystem(step);
 */
export const runShedSystem = (step: ScheduleStep): void => {
  const waiting = [...step.tables.waiting.values()];
  waiting.forEach((item) => shedLate(step, item));
  waiting.forEach((item) => shedWithoutWorker(step, item));
  shedOverflow(step);
};

/**
 * Whether the current backlog prevents a new request from meeting its deadline, so that it can be
 * refused before any prefill is spent on it.
 *
 * @example
 * if (!isDeadlineUnreachable(tables, waiting, now)) addWaiting(tables, waiting);
 */
export const isDeadlineUnreachable = (
  tables: ScheduleTables,
  waiting: WaitingEntity,
  now: number,
): boolean => {
  if (tables.policy.name !== 'owner' || tables.index.slots === 0) return false;
  const waitMs = estimateWaitMs(tables, waiting, now);
  return !canMeetDeadline(tables, waiting, waitMs, now) && canShed(tables, waiting.rank, now);
};
