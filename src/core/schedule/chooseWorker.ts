import { estimateFirstTokenMs, estimateTotalMs } from './speedModel';
import { hasFreeSlot, listCandidates } from './workerIndex';
import { canAttempt } from './workerReach';
import type {
  PolicyName, ScheduleTables, WaitingEntity, WorkerEntity,
} from './scheduleTypes';

/** A worker for a request, and the prompt tokens that it must process. */
export interface Choice {
  readonly worker: WorkerEntity;
  /** Prompt tokens that are probably not in the worker's cache. */
  readonly uncachedTokens: number;
}

const MAX_PREFIX_CANDIDATES = 8;

type Chooser = (tables: ScheduleTables, waiting: WaitingEntity) => Choice | undefined;

/** Prompt tokens covered by each prefix hash, in the order in which entries send the hashes. */
export const PREFIX_TOKENS: readonly number[] = [64, 256, 1_024, 4_096];

const findCachedTokens = (worker: WorkerEntity, prefixes: readonly string[]): number => {
  const position = prefixes.findLastIndex((prefix) => worker.prefixes.has(prefix));
  return position < 0 ? 0 : PREFIX_TOKENS[position] ?? 0;
};

const makeChoice = (
  tables: ScheduleTables,
  waiting: WaitingEntity,
  worker: WorkerEntity,
): Choice => {
  const prompt = waiting.ask.promptTokens;
  const cached = tables.policy.affinity ? findCachedTokens(worker, waiting.ask.prefixes) : 0;
  return { worker, uncachedTokens: Math.max(0, prompt - cached) };
};

const scoreChoice = (tables: ScheduleTables, waiting: WaitingEntity, choice: Choice): number => {
  const { worker, uncachedTokens } = choice;
  tables.comparisons += 1;
  const batch = worker.running.size + 1;
  const hardware = tables.policy.speeds ? worker.hardware : '';
  const expected = estimateTotalMs(
    tables.speeds,
    hardware,
    batch,
    uncachedTokens,
    waiting.outputTokens,
  );
  return expected * (tables.policy.stragglers ? worker.slowness : 1);
};

const listPrefixHolders = (tables: ScheduleTables, waiting: WaitingEntity): string[] => {
  const prefix = waiting.ask.prefixes.findLast((item) => tables.prefixWorkers.has(item));
  const holders = prefix === undefined ? undefined : tables.prefixWorkers.get(prefix);
  return [...(holders ?? [])].slice(0, MAX_PREFIX_CANDIDATES);
};

const servesTarget = (
  worker: WorkerEntity,
  target: string,
): boolean => worker.targets.includes(target);

/**
 * Chooses the worker that is expected to finish the request first, among one free worker of each
 * bucket and the free workers that have a prefix of the prompt in their cache.
 */
const chooseExpectedFastest: Chooser = (tables, waiting) => {
  const { target } = waiting.ask;
  const holders = tables.policy.affinity ? listPrefixHolders(tables, waiting) : [];
  const free = holders.filter((id) => hasFreeSlot(tables.index, id));
  const ids = [...new Set([...listCandidates(tables.index, target), ...free])];
  const [best] = ids
    .flatMap((id) => tables.workers.get(id) ?? [])
    .filter((worker) => servesTarget(worker, target) && canAttempt(tables, waiting, worker))
    .map((worker) => makeChoice(tables, waiting, worker))
    .map((choice) => ({ choice, score: scoreChoice(tables, waiting, choice) }))
    .sort((a, b) => a.score - b.score);
  return best?.choice;
};

const listServingWorkers = (tables: ScheduleTables, target: string): WorkerEntity[] => (
  [...tables.workers.values()].filter((worker) => !worker.leaving && servesTarget(worker, target))
);

const chooseRoundRobin: Chooser = (tables, waiting) => {
  const serving = listServingWorkers(tables, waiting.ask.target);
  tables.roundRobinCounter += 1;
  const worker = serving[tables.roundRobinCounter % Math.max(1, serving.length)];
  return worker && makeChoice(tables, waiting, worker);
};

const chooseLeastOutstanding: Chooser = (tables, waiting) => {
  const [worker] = listServingWorkers(tables, waiting.ask.target)
    .sort((a, b) => a.running.size - b.running.size);
  return worker && makeChoice(tables, waiting, worker);
};

const choosers: Record<PolicyName, Chooser> = {
  owner: chooseExpectedFastest,
  roundRobin: chooseRoundRobin,
  leastOutstanding: chooseLeastOutstanding,
};

/**
 * Chooses a worker for a request; undefined when no suitable worker has a free slot.
 *
 * @example
 * const choice = chooseWorker(tables, waiting);
 */
export const chooseWorker = (
  tables: ScheduleTables,
  waiting: WaitingEntity,
): Choice | undefined => choosers[tables.policy.name](tables, waiting);

/** Estimates the time to the first token on the chosen worker, in milliseconds. */
export const estimateChoiceFirstTokenMs = (tables: ScheduleTables, choice: Choice): number => (
  estimateFirstTokenMs(tables.speeds, choice.worker.hardware, choice.uncachedTokens)
);
