/**
 * Which backend server takes a request: the one that is expected to begin its answer first, of
 * those that are ready, in reach, and were not tried for this request already.
 */
import { estimateSlowness, findWork } from './routedWorkers';
import type { RoutedWorker, RoutedWorkers, ServiceWork } from './routedWorkers';

/** What the choice needs to know of a request. */
export interface ChoiceRequest {
  readonly service: string;
  readonly promptTokens: number;
  /** Availability zone of the entry. */
  readonly zone: string;
  /** Backend servers that this request was at already. */
  readonly tried: readonly string[];
}

/** A backend server, and what is expected of it. */
export interface WorkerChoice {
  readonly worker: RoutedWorker;
  /** Expected milliseconds until the answer begins. */
  readonly startMs: number;
}

/**
 * What a byte that crosses availability zones costs is weighed as this much time: a nearer server
 * is preferred only where it answers as soon, but for some milliseconds.
 */
const OTHER_ZONE_MS = 6;

/** How many times its wait counts for a server all of whose answers fail beyond the usual. */
const FAILURE_WEIGHT = 20;

/** Milliseconds that an unloaded server of usual speed takes, so that weights have a base. */
const BASE_MS = 10;

/** A cold server is expected to take this many times as long. */
const COLD_FACTOR = 2;

const estimateStartMs = (
  workers: RoutedWorkers,
  work: ServiceWork,
  worker: RoutedWorker,
  request: ChoiceRequest,
): number => {
  const slowness = estimateSlowness(workers, worker) * (worker.isCold ? COLD_FACTOR : 1);
  const held = worker.inFlight + worker.othersInFlight;
  const over = Math.max(0, held + 1 - worker.slots);
  const slotMs = (over * work.holdMs) / worker.slots;
  const pending = worker.pendingTokens + worker.othersPendingTokens + request.promptTokens;
  const prefillMs = pending * work.prefillMsPerToken;
  const crowdMs = BASE_MS * (1 + held / worker.slots);
  return slowness * (slotMs + prefillMs + crowdMs);
};

const weighFailures = (work: ServiceWork, worker: RoutedWorker): number => (
  1 + FAILURE_WEIGHT * Math.max(0, worker.failureShare - work.failureShare - 0.1)
);

/**
 * Whether a server takes new work. While none is ready, one that fell silent is tried: its
 * announcements may be what is lost, and not the server.
 */
const canTake = (worker: RoutedWorker, request: ChoiceRequest, now: number): boolean => (
  worker.standing === 'ready'
    && now >= worker.suspendedUntil
    && !request.tried.includes(worker.id)
);

/**
 * Chooses a backend server, or none when no server may take the request.
 *
 * @example
 * const choice = chooseRoutedWorker(workers, request, clock.now());
 */
export const chooseRoutedWorker = (
  workers: RoutedWorkers,
  request: ChoiceRequest,
  now: number,
): WorkerChoice | undefined => {
  const work = findWork(workers, request.service);
  const usable = (workers.byService.get(request.service) ?? [])
    .filter((worker) => canTake(worker, request, now));
  const scored = usable.map((worker) => {
    const startMs = estimateStartMs(workers, work, worker, request);
    const zoneMs = worker.zone === request.zone ? 0 : OTHER_ZONE_MS;
    return { worker, startMs, score: startMs * weighFailures(work, worker) + zoneMs };
  });
  return scored.reduce<typeof scored[number] | undefined>(
    (best, item) => (!best || item.score < best.score ? item : best),
    undefined,
  );
};

/**
 * How long a request may be expected to wait, as a part of its target latency, by rank: what ranks
 * lower yields earlier as a service fills up, so that the ranks above keep what is left.
 */
const WAIT_SHARE_BY_RANK = [1.2, 1, 0.8];

/**
 * Decides whether a request is worth being sent: one that would begin too late for its target is
 * refused at once, before a server spends work on it that another could use in time.
 *
 * @example
 * if (!isWorthSending(choice.startMs, route.targetLatencyMs, rank)) refuse();
 */
export const isWorthSending = (
  startMs: number,
  targetLatencyMs: number,
  rank: number,
): boolean => {
  const share = WAIT_SHARE_BY_RANK[Math.min(rank, WAIT_SHARE_BY_RANK.length - 1)] ?? 1;
  return startMs <= share * targetLatencyMs;
};
