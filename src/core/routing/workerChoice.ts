/**
 * Which backend server takes a request: the one that is expected to begin its answer first, of
 * those that may take it.
 */
import { estimateAt, estimateSlope } from './linearFit';
import { findServiceStats, isReachable, isReady } from './routedWorkers';
import type { RoutedWorker, RoutedWorkers, ServiceStats } from './routedWorkers';
import { isBackingOff, mayProbe } from './workerBackoff';
import { estimateSlowness, findFastestPace } from './workerSlowness';

/** What the choice needs to know of a request. */
export interface ChoiceRequest {
  readonly service: string;
  readonly promptTokens: number;
  /** Tokens that its answer is expected to have; 0 for plain requests. */
  readonly outputTokens: number;
  /** Milliseconds in which the whole answer must have come. */
  readonly remainingMs: number;
  /** Availability zone of the entry. */
  readonly zone: string;
  /** Backend servers that this request was at already. */
  readonly tried: readonly string[];
  /** Backend servers that must not take it. */
  readonly avoided?: ReadonlySet<string>;
  /** Whether only a server with a free slot will do. */
  readonly requiresFreeSlot: boolean;
}

/** A backend server, and what is expected of it. */
export interface WorkerChoice {
  readonly worker: RoutedWorker;
  /** Expected milliseconds until a slot is free and what is before the request has been read. */
  readonly waitMs: number;
  /** Expected milliseconds that its own beginning takes from then on. */
  readonly ownMs: number;
}

/**
 * What a byte that crosses availability zones costs is weighed as this much time: a nearer server
 * is preferred only where it answers as soon, but for some milliseconds.
 */
const CROSS_ZONE_PENALTY_MS = 6;

/** How many times its wait counts for a server all of whose answers fail beyond the usual. */
const FAILURE_PENALTY = 20;

/** Milliseconds that a plain answer of a server of usual speed takes, so that loads compare. */
const PLAIN_ANSWER_MS = 10;

/** A cold server is expected to take this many times as long. */
const COLD_FACTOR = 2;

interface AnswerEstimate {
  /** Milliseconds until a slot is free and what is before the request has been read. */
  readonly waitMs: number;
  /** Milliseconds that its own beginning takes from then on. */
  readonly ownMs: number;
  /** Milliseconds from its beginning to its end. */
  readonly outputMs: number;
}

const estimateAnswer = (
  workers: RoutedWorkers,
  work: ServiceStats,
  worker: RoutedWorker,
  request: ChoiceRequest,
  fastestMs: number | undefined,
): AnswerEstimate => {
  const slowness = estimateSlowness(workers, worker, fastestMs) * (worker.isCold ? COLD_FACTOR : 1);
  const held = worker.inFlight + worker.othersInFlight;
  const over = Math.max(0, held + 1 - worker.slots);
  const slotMs = (over * work.holdMs) / worker.slots;
  const pending = worker.pendingTokens + worker.othersPendingTokens;
  const crowdMs = (PLAIN_ANSWER_MS * held) / worker.slots;
  const isPrompt = request.promptTokens > 0;
  return {
    waitMs: slowness * (slotMs + pending * estimateSlope(work.firstEvent) + crowdMs),
    ownMs: slowness * (isPrompt ? estimateAt(work.firstEvent, request.promptTokens) : PLAIN_ANSWER_MS),
    outputMs: isPrompt ? slowness * estimateAt(work.output, request.outputTokens) : 0,
  };
};

/** Part of the time left that an answer is expected to need at most, as lengths are estimates. */
const USABLE_TIME_SHARE = 0.8;

/*
 * Guards long answers against slow servers, which would be cut off by their deadline after all the
 * work: what an answer is expected to last beyond its time counts like a wait.
 */
const computeOverrunMs = (expected: AnswerEstimate, { remainingMs }: ChoiceRequest): number => (
  Math.max(0, expected.waitMs + expected.ownMs + expected.outputMs - USABLE_TIME_SHARE * remainingMs)
);

const computeFailureFactor = (work: ServiceStats, worker: RoutedWorker): number => (
  1 + FAILURE_PENALTY * Math.max(0, worker.failureShare - work.failureShare - 0.1)
);

const computeScore = (
  { mechanisms }: RoutedWorkers,
  work: ServiceStats,
  worker: RoutedWorker,
  expected: AnswerEstimate,
  request: ChoiceRequest,
): number => {
  const weight = mechanisms.failureWeight ? computeFailureFactor(work, worker) : 1;
  const isNear = !mechanisms.zoneAffinity || worker.zone === request.zone;
  const overrunMs = mechanisms.overrunGuard ? computeOverrunMs(expected, request) : 0;
  return (expected.waitMs + expected.ownMs) * weight + (isNear ? 0 : CROSS_ZONE_PENALTY_MS) + overrunMs;
};

const hasFreeSlot = ({ inFlight, othersInFlight, slots }: RoutedWorker): boolean => (
  inFlight + othersInFlight < slots
);

const isUsable = (
  { connectionShares }: RoutedWorkers,
  worker: RoutedWorker,
  request: ChoiceRequest,
): boolean => isReady(worker)
  && worker.inFlight < (connectionShares.get(worker.service) ?? Infinity)
  && !request.avoided?.has(worker.id)
  && (!request.requiresFreeSlot || hasFreeSlot(worker));

/**
 * Servers that may take a request, the best kind that there is: in reach and not tried yet; else in
 * reach; and for requests that are not placed, else any that is ready, and last one that rests and
 * may be asked all the same. A last server that failed a request is better than a refusal.
 */
const listCandidates = (
  workers: RoutedWorkers,
  request: ChoiceRequest,
  now: number,
): RoutedWorker[] => {
  const usable = (workers.byService.get(request.service) ?? [])
    .filter((worker) => isUsable(workers, worker, request));
  const willing = usable.filter(({ backoff: rest }) => !isBackingOff(rest, now));
  const inReach = willing.filter((worker) => isReachable(workers, worker, now));
  const fresh = inReach.filter(({ id }) => !request.tried.includes(id));
  if (fresh.length > 0) return fresh;
  if (inReach.length > 0 || request.requiresFreeSlot) return inReach;
  const untried = willing.filter(({ id }) => !request.tried.includes(id));
  if (untried.length > 0) return untried;
  return usable.filter(({ id, backoff: rest }) => !request.tried.includes(id) && mayProbe(rest, now));
};

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
  const work = findServiceStats(workers, request.service);
  const fastestMs = findFastestPace(workers, request.service);
  const scored = listCandidates(workers, request, now).map((worker) => {
    const expected = estimateAnswer(workers, work, worker, request, fastestMs);
    const { waitMs, ownMs } = expected;
    const score = computeScore(workers, work, worker, expected, request);
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
 * How long a request may be expected to wait, as a part of its target latency, by rank: what ranks
 * lower yields earlier as a service fills up, so that the ranks above keep what is left. Only the
 * wait counts, not the request's own length: long requests are not turned away for being long.
 */
const MAX_WAIT_SHARE_BY_RANK = [1.2, 1, 0.8];

/**
 * Decides whether a request is worth being sent: one that would wait too long for its target is
 * refused at once, before a server spends work on it that another could use in time.
 *
 * @example
 * if (!isWorthSending(choice, route.targetLatencyMs, rank)) refuse();
 */
export const isWaitAcceptable = (
  { waitMs }: Pick<WorkerChoice, 'waitMs'>,
  targetLatencyMs: number,
  rank: number,
): boolean => {
  const share = MAX_WAIT_SHARE_BY_RANK[Math.min(rank, MAX_WAIT_SHARE_BY_RANK.length - 1)] ?? 1;
  return waitMs <= share * targetLatencyMs;
};
