import { chargeAccount } from './accountUsage';
import { chooseWorker, estimateChoiceFirstTokenMs } from './chooseWorker';
import { listQueueHeads, listWaitingRanks, removeWaiting } from './fairQueue';
import { recordGrant } from './grantRate';
import { addRunning, recordPrefixes } from './scheduleTables';
import type { Choice } from './chooseWorker';
import type { ScheduleStep, ScheduleTables, WaitingEntity } from './scheduleTypes';

/** Time within which an entry must start to dispatch a granted request, in milliseconds. */
export const GRANT_TIMEOUT_MS = 2_000;

const sumHeadroom = (
  tables: ScheduleTables,
  rank: number,
): number => Object.values(tables.config.tiers)
  .filter((tier) => tier.rank < rank)
  .reduce((sum, tier) => {
    const maxHeadroom = Math.floor(tier.headroom * tables.index.slots);
    const running = tables.runningByRank.get(tier.rank) ?? 0;
    // The recent peak of concurrent requests plus one, limited by the headroom in the manifest.
    const required = Math.min(
      maxHeadroom,
      Math.ceil(tables.peakConcurrency.get(tier.rank) ?? 0) + 1,
    );
    return sum + Math.max(0, required - running);
  }, 0);

/**
 * Computes the number of slots that a rank must leave free for higher tiers.
 *
 * @example
 * computeHeadroom(tables, 2);
 */
export const computeHeadroom = (tables: ScheduleTables, rank: number): number => (
  tables.policy.headroom ? sumHeadroom(tables, rank) : 0
);

const hasFreeCapacity = (tables: ScheduleTables, rank: number): boolean => {
  if (tables.policy.name !== 'owner') return true;
  const free = tables.index.slots - tables.index.used;
  // Headroom never blocks a whole pool: while nothing is running, every tier may use one slot.
  return free > Math.min(computeHeadroom(tables, rank), Math.max(0, tables.index.slots - 1));
};

const grant = (step: ScheduleStep, waiting: WaitingEntity, choice: Choice): void => {
  const { tables, now } = step;
  const { ask } = waiting;
  const { worker } = choice;
  removeWaiting(tables, ask.requestId);
  chargeAccount(tables, ask.account, waiting.cost);
  recordGrant(tables, waiting.rank, now);
  addRunning(tables, {
    requestId: ask.requestId,
    entryId: ask.entryId,
    workerId: worker.id,
    rank: waiting.rank,
    account: ask.account,
    target: ask.target,
    tier: ask.tier,
    promptTokens: ask.promptTokens,
    cost: waiting.cost,
    askNumber: ask.askNumber,
    grantedAt: now,
    batch: worker.running.size + 1,
    expectedFirstTokenMs: estimateChoiceFirstTokenMs(tables, choice),
    started: false,
    late: false,
  });
  recordPrefixes(tables, worker, ask.prefixes, now);
  step.effects.push({
    kind: 'grant',
    requestId: ask.requestId,
    workerId: worker.id,
    workerAddress: worker.address,
    workerIncarnation: worker.incarnation,
    canResume: worker.canResume,
  });
};

const grantOne = (step: ScheduleStep, rank: number): boolean => {
  const { tables } = step;
  if (!hasFreeCapacity(tables, rank)) return false;
  const unavailableTargets = new Set<string>();
  return listQueueHeads(tables, rank).some((waiting) => {
    // All requests of a target that have not failed at any worker have the same candidates. If no
    // worker was found for one of them, the others are skipped.
    if (unavailableTargets.has(waiting.ask.target)) return false;
    const choice = chooseWorker(tables, waiting);
    if (choice) grant(step, waiting, choice);
    else if (
      !tables.failedWorkersByRequest.has(waiting.ask.requestId)
    ) unavailableTargets.add(waiting.ask.target);
    return choice !== undefined;
  });
};

const grantRank = (step: ScheduleStep, rank: number): void => {
  const maxGrants = step.tables.waiting.size;
  Array.from({ length: maxGrants }).some(() => !grantOne(step, rank));
};

/**
 * Grants free slots, highest tier first; within a tier, to the least served account first.
 *
 * @example
 * runGrantSystem(step);
 */
export const runGrantSystem = (step: ScheduleStep): void => {
  listWaitingRanks(step.tables).forEach((rank) => grantRank(step, rank));
};
