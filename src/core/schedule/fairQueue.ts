import type { ScheduleTables, WaitingEntity } from './scheduleTypes';
import { findAccountUsage } from './accountUsage';

const findQueues = (tables: ScheduleTables, rank: number): Map<string, string[]> => {
  const known = tables.queues.get(rank);
  if (known) return known;
  const queues = new Map<string, string[]>();
  tables.queues.set(rank, queues);
  return queues;
};

const findLeastVirtualTokens = (tables: ScheduleTables, queues: Map<string, string[]>): number => (
  [...queues.keys()].reduce(
    (least, account) => Math.min(least, findAccountUsage(tables, account).virtualTokens),
    Infinity,
  )
);

/*
 * Guards against an account that was idle and would then receive all the service that it did not
 * use: its virtual tokens are raised to the least of the accounts that have waiting requests.
 */
const raiseVirtualTokens = (
  tables: ScheduleTables,
  queues: Map<string, string[]>,
  account: string,
): void => {
  const least = findLeastVirtualTokens(tables, queues);
  const usage = findAccountUsage(tables, account);
  if (least !== Infinity) usage.virtualTokens = Math.max(usage.virtualTokens, least);
};

/** Appends a request to the queue of its account. */
export const addWaiting = (tables: ScheduleTables, waiting: WaitingEntity): void => {
  const { account, requestId } = waiting.ask;
  const queues = findQueues(tables, waiting.rank);
  const queue = queues.get(account);
  tables.waiting.set(requestId, waiting);
  if (queue) {
    queue.push(requestId);
    return;
  }
  raiseVirtualTokens(tables, queues, account);
  queues.set(account, [requestId]);
};

/** Removes a request from its queue, at any position. */
export const removeWaiting = (
  tables: ScheduleTables,
  requestId: string,
): WaitingEntity | undefined => {
  const waiting = tables.waiting.get(requestId);
  if (!waiting) return undefined;
  tables.waiting.delete(requestId);
  const queues = findQueues(tables, waiting.rank);
  const queue = queues.get(waiting.ask.account) ?? [];
  const position = queue.indexOf(requestId);
  if (position >= 0) queue.splice(position, 1);
  if (queue.length === 0) queues.delete(waiting.ask.account);
  return waiting;
};

/**
 * Lists the first waiting request of each account in a rank, least served account first.
 *
 * @example
 * const [next] = listQueueHeads(tables, 0);
 */
export const listQueueHeads = (tables: ScheduleTables, rank: number): WaitingEntity[] => (
  [...(tables.queues.get(rank) ?? [])]
    .map(([account, [head]]) => ({
      served: findAccountUsage(tables, account).virtualTokens,
      waiting: head === undefined ? undefined : tables.waiting.get(head),
    }))
    .sort((a, b) => a.served - b.served)
    .flatMap(({ waiting }) => waiting ?? [])
);

/** Lists the ranks that have waiting requests, highest tier first. */
export const listWaitingRanks = (tables: ScheduleTables): number[] => (
  [...tables.queues]
    .filter(([, queues]) => queues.size > 0)
    .map(([rank]) => rank)
    .sort((a, b) => a - b)
);

const sumLengths = (queues: Iterable<readonly string[]>, limit: number): number => (
  [...queues].reduce((sum, queue) => sum + Math.min(queue.length, limit), 0)
);

/**
 * Counts the requests of a rank that are served before the next request of an account. Each account
 * contributes at most one request more than this account has waiting, because further requests of a
 * large account do not delay a small one.
 *
 * @example
 * countAheadInRank(tables, 1, 'kiosks');
 */
export const countAheadInRank = (tables: ScheduleTables, rank: number, account: string): number => {
  const queues = tables.queues.get(rank);
  const own = queues?.get(account)?.length ?? 0;
  return sumLengths(queues?.values() ?? [], own + 1);
};

/**
 * Counts the requests that are served before the next request of an account, including all requests
 * of higher tiers.
 *
 * @example
 * countAhead(tables, 1, 'kiosks');
 */
export const countAhead = (tables: ScheduleTables, rank: number, account: string): number => {
  const higher = [...tables.queues]
    .filter(([other]) => other < rank)
    .reduce((sum, [, queues]) => sum + sumLengths(queues.values(), Infinity), 0);
  return higher + countAheadInRank(tables, rank, account);
};
