/**
 * Choice of the backend server for a request: among the eligible servers, the one that is expected
 * to start its answer first.
 */
import { drawCandidates } from './candidateSample';
import type { SampleOptions } from './candidateSample';
import { estimateAt, estimateSlope } from './linearFit';
import { hasAllowance } from './rateAllowance';
import {
  findServiceStats, hasFreeSlot, isReachable, isReady,
} from './routedWorkers';
import type { RoutedWorker, RoutedWorkers, ServiceStats } from './routedWorkers';
import { canContinue } from './streamOrigin';
import type { StreamOrigin } from './streamOrigin';
import { isBackingOff, mayProbe } from './workerBackoff';
import { estimateSlowness, findFastestPace } from './workerSlowness';

/** Properties of a request that the choice depends on. */
export interface ChoiceRequest {
  readonly service: string;
  readonly promptTokens: number;
  /** Expected tokens of its answer; 0 for plain requests. */
  readonly outputTokens: number;
  /** Milliseconds until the whole answer is due. */
  readonly remainingMs: number;
  /** Availability zone of the entry. */
  readonly zone: string;
  /** Backend servers that the request has already been sent to. */
  readonly tried: readonly string[];
  /** Backend servers that must not be chosen. */
  readonly avoided?: ReadonlySet<string>;
  /** Whether only a server with a free slot may be chosen. */
  readonly requiresFreeSlot: boolean;
  /** Set if the request continues a stream: only servers of this version may be chosen. */
  readonly origin?: StreamOrigin | undefined;
  /** Set if other entries may choose by the same view at the same time. */
  readonly sample?: SampleOptions | undefined;
  /** Whether servers whose slots another replica grants may be chosen too. */
  readonly includesLent?: boolean;
}

/** A chosen backend server with its estimates. */
export interface WorkerChoice {
  readonly worker: RoutedWorker;
  /** Expected milliseconds until a slot is free and the prompts before this one are processed. */
  readonly waitMs: number;
  /** Expected milliseconds from then until its own answer starts. */
  readonly ownMs: number;
}

/**
 * Cost of traffic between availability zones, expressed as time: a server in the same zone is
 * preferred unless one in another zone is expected to answer earlier by more than this.
 */
const CROSS_ZONE_PENALTY_MS = 6;

/**
 * Weight of failures in a server's expected time: the time doubles when the server's failure share
 * exceeds the service's average by 0.15, that is by 0.05 more than is tolerated.
 */
const FAILURE_PENALTY = 20;

/**
 * Assumed time of an answer to a request without a prompt at the fastest server, in milliseconds.
 * Makes the loads of servers comparable.
 */
const PLAIN_ANSWER_MS = 10;

/** Factor by which a cold server is expected to take longer. */
const COLD_FACTOR = 2;

interface AnswerEstimate {
  /** Milliseconds until a slot is free and the prompts before this one are processed. */
  readonly waitMs: number;
  /** Milliseconds from then until its own answer starts. */
  readonly ownMs: number;
  /** Milliseconds from the start to the end of its answer. */
  readonly outputMs: number;
}

const estimateAnswer = (
  workers: RoutedWorkers,
  stats: ServiceStats,
  worker: RoutedWorker,
  request: ChoiceRequest,
  fastestMs: number | undefined,
): AnswerEstimate => {
  const slowness = estimateSlowness(workers, worker, fastestMs) * (worker.isCold ? COLD_FACTOR : 1);
  const openRequests = worker.inFlight + worker.othersInFlight;
  const excess = Math.max(0, openRequests + 1 - worker.slots);
  const slotMs = (excess * stats.holdMs) / worker.slots;
  const pending = worker.pendingTokens + worker.othersPendingTokens;
  const loadMs = (PLAIN_ANSWER_MS * openRequests) / worker.slots;
  const isPrompt = request.promptTokens > 0;
  return {
    waitMs: slowness * (slotMs + pending * estimateSlope(stats.firstEvent) + loadMs),
    ownMs: slowness
      * (isPrompt ? estimateAt(stats.firstEvent, request.promptTokens) : PLAIN_ANSWER_MS),
    outputMs: isPrompt ? slowness * estimateAt(stats.output, request.outputTokens) : 0,
  };
};

/** Largest share of the remaining time that an answer may need; its length is an estimate. */
const USABLE_TIME_SHARE = 0.8;

/*
 * Keeps long answers away from slow servers, where the deadline would abort them after most of the
 * work is done: expected time beyond the deadline counts like a wait.
 */
const computeOverrunMs = (estimate: AnswerEstimate, { remainingMs }: ChoiceRequest): number => (
  Math.max(
    0,
    estimate.waitMs + estimate.ownMs + estimate.outputMs - USABLE_TIME_SHARE * remainingMs,
  )
);

const computeFailureFactor = (stats: ServiceStats, worker: RoutedWorker): number => (
  1 + FAILURE_PENALTY * Math.max(0, worker.failureShare - stats.failureShare - 0.1)
);

const computeScore = (
  { mechanisms }: RoutedWorkers,
  stats: ServiceStats,
  worker: RoutedWorker,
  estimate: AnswerEstimate,
  request: ChoiceRequest,
): number => {
  const weight = mechanisms.failureWeight ? computeFailureFactor(stats, worker) : 1;
  const isNear = !mechanisms.zoneAffinity || worker.zone === request.zone;
  const overrunMs = mechanisms.overrunGuard ? computeOverrunMs(estimate, request) : 0;
  return (estimate.waitMs + estimate.ownMs) * weight
    + (isNear ? 0 : CROSS_ZONE_PENALTY_MS)
    + overrunMs;
};

const isUsable = (
  { connectionShares }: RoutedWorkers,
  worker: RoutedWorker,
  request: ChoiceRequest,
  now: number,
): boolean => (!request.requiresFreeSlot || hasFreeSlot(worker))
  && isReady(worker)
  && (!worker.isLent || request.includesLent === true)
  && hasAllowance(worker.rateLimit.allowance, now)
  && worker.inFlight < (connectionShares.get(worker.service) ?? Infinity)
  && !request.avoided?.has(worker.id)
  && canContinue(worker, request.origin);

/**
 * Lists the best available kind of servers for a request: reachable and untried ones; otherwise
 * reachable ones. For requests that are not placed by the leader, the fallback is any ready and
 * untried server, and finally one that is backing off and may be probed. Sending a request to the
 * last server again is better than refusing it.
 */
const listCandidates = (
  workers: RoutedWorkers,
  request: ChoiceRequest,
  now: number,
): RoutedWorker[] => {
  const usable = (workers.byService.get(request.service) ?? [])
    .filter((worker) => isUsable(workers, worker, request, now));
  const available = usable.filter(({ backoff }) => !isBackingOff(backoff, now));
  const reachable = available.filter((worker) => isReachable(workers, worker, now));
  const untriedReachable = reachable.filter(({ id }) => !request.tried.includes(id));
  if (untriedReachable.length > 0) return untriedReachable;
  if (reachable.length > 0 || request.requiresFreeSlot) return reachable;
  const untried = available.filter(({ id }) => !request.tried.includes(id));
  if (untried.length > 0) return untried;
  return usable.filter(({ id, backoff }) => !request.tried.includes(id)
    && mayProbe(backoff, now));
};

/**
 * Chooses a backend server; undefined when no server is eligible.
 *
 * @example
 * const choice = chooseRoutedWorker(workers, request, clock.now());
 */
export const chooseRoutedWorker = (
  workers: RoutedWorkers,
  request: ChoiceRequest,
  now: number,
): WorkerChoice | undefined => {
  const stats = findServiceStats(workers, request.service);
  const fastestMs = findFastestPace(workers, request.service);
  const available = listCandidates(workers, request, now);
  const candidates = request.sample ? drawCandidates(available, request.sample) : available;
  const scored = candidates.map((worker) => {
    const estimate = estimateAnswer(workers, stats, worker, request, fastestMs);
    const { waitMs, ownMs } = estimate;
    const score = computeScore(workers, stats, worker, estimate, request);
    return {
      worker, waitMs, ownMs, score,
    };
  });
  return scored.reduce<typeof scored[number] | undefined>(
    (best, item) => (!best || item.score < best.score ? item : best),
    undefined,
  );
};

/**
 * Longest expected wait of a request, as a share of its target latency, by rank: lower ranks yield
 * earlier as a service fills up, so that higher ranks keep the remaining capacity. Only the wait
 * counts, not the request's own length: long requests are not refused for being long.
 */
const MAX_WAIT_SHARE_BY_RANK = [1.2, 1, 0.8];

/**
 * Whether the expected wait of a request is short enough for its target. A request that would wait
 * too long is refused at once, before a server spends work on it that another request could use.
 *
 * @example
 * if (!isWaitAcceptable(choice, route.targetLatencyMs, rank)) refuse();
 */
export const isWaitAcceptable = (
  { waitMs }: Pick<WorkerChoice, 'waitMs'>,
  targetLatencyMs: number,
  rank: number,
): boolean => {
  const share = MAX_WAIT_SHARE_BY_RANK[Math.min(rank, MAX_WAIT_SHARE_BY_RANK.length - 1)] ?? 1;
  return waitMs <= share * targetLatencyMs;
};
