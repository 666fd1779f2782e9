import { randomUUID } from 'node:crypto';
import { NO_TIMINGS } from '../core/routing/placementTables';
import {
  isServiceBlocked, listAvoidedIds, isEligible, recordProbe, computeShortestBackoffMs,
} from '../core/routing/workerEligibility';
import { isReachable, isReady } from '../core/routing/routedWorkers';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import { chooseRoutedWorker, isWaitAcceptable } from '../core/routing/workerChoice';
import { computeRetryAfterMs, isBackingOff } from '../core/routing/workerBackoff';
import { BeechliftError, makeErrorFromNumber } from '../errors/beechliftError';
import type { Clock } from '../utils/clock';
import { chargeAccount, computeCost } from './admitRequest';
import type { AdmittedRequest } from './admitRequest';
import type { PlaceClient } from './placeClient';
import type { RelaySite } from './relaySite';
import type { RequestFacts } from './requestDialect';
import type { RequestGuard } from './requestGuard';

/** A request that needs a backend server. */
export interface PickRequest {
  readonly admitted: AdmittedRequest;
  readonly facts: RequestFacts;
  readonly deadlineAt: number;
  /** Backend servers that it was at already. */
  readonly tried: readonly string[];
  /** What is known of it beside servers that ended under it. */
  readonly guard: Pick<RequestGuard, 'fingerprint' | 'isFree'>;
  /** Whether nobody waits for it any more. */
  readonly isOver: () => boolean;
  /** Hears how to take the request back while it waits for a place. */
  readonly noteWaiting: (cancel: () => void) => void;
}

/** The backend server that takes a request. */
export interface PickedWorker {
  readonly worker: RoutedWorker;
  readonly expectedMs: number;
  /** Under which the leader knows it; empty where the entry chose by itself. */
  readonly placeId: string;
  /** The leader's table that the place is counted in. */
  readonly epoch: string;
}

/** What the picker needs. */
export interface WorkerPickerParts {
  readonly site: RelaySite;
  readonly placeClient: PlaceClient;
  readonly clock: Clock;
}

/** Bounds on the time after which a refused caller may come back, in milliseconds. */
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 3_000;
/** Time to come back where no server is known at all: an announcement or two. */
const NO_WORKER_RETRY_MS = 1_000;
/** Times that one offer asks the leader, where its places are at servers that take nothing. */
const MAX_PLACE_REQUESTS = 2;

/**
 * Finds the backend server for a request. Model engines, whose slots are dear, are given out by the
 * leader of control for all entries; plain services, and everything while no leader is in reach,
 * are chosen here.
 *
 * @example
 * const picked = await picker.pick(request);
 */
export class WorkerPicker {
  /** Names the places of this process. */
  private readonly placeIdPrefix = randomUUID().slice(0, 8);

  private lastPlaceNumber = 0;

  constructor(private readonly parts: WorkerPickerParts) {}

  /**
   * Resolves with the server, or with nothing where the request is over; throws the refusal when
   * there is none.
   */
  async pick(request: PickRequest): Promise<PickedWorker | undefined> {
    const { site, clock } = this.parts;
    const { service } = request.admitted;
    this.checkBackoff(service);
    const isEngine = site.table?.findService(service)?.isEngine ?? false;
    const usesLeader = isEngine && site.workers.mechanisms.leaderPlacing;
    const placed = usesLeader ? await this.place(request) : undefined;
    if (placed) return placed;
    if (request.isOver()) return undefined;
    // One copy at a time, which only the leader sees to.
    if (usesLeader && !request.guard.isFree) throw new BeechliftError('noSlotInTime', 'backend servers ended under this request, and the leader of control is out of reach', { retryAfterMs: NO_WORKER_RETRY_MS });
    if (request.tried.length === 0) {
      chargeAccount(site, request.admitted.account, request.facts, clock.now());
    }
    return this.chooseLocally(request);
  }

  /** Whether any server of a service may take a request at the moment. */
  hasAvailableWorker(service: string): boolean {
    const now = this.parts.clock.now();
    const { workers } = this.parts.site;
    return (workers.byService.get(service) ?? [])
      .some((worker) => isReady(worker)
        && !isBackingOff(worker.backoff, now)
        && isReachable(workers, worker, now));
  }

  private async place(request: PickRequest, requestCount = 1): Promise<PickedWorker | undefined> {
    const { site, placeClient, clock } = this.parts;
    const {
      admitted, facts, tried, guard, deadlineAt,
    } = request;
    const {
      account, service, rank, route,
    } = admitted;
    this.lastPlaceNumber += 1;
    const placeId = `${this.placeIdPrefix}${this.lastPlaceNumber}`;
    request.noteWaiting(() => placeClient.cancel(placeId));
    const reply = await placeClient.place({
      placeId,
      entryId: site.entryId,
      service,
      account: account?.name ?? '',
      cost: account && tried.length === 0 && requestCount === 1 ? computeCost(account, facts) : 0,
      rank,
      promptTokens: facts.tokens?.prompt ?? 0,
      outputTokens: facts.tokens?.expected ?? 0,
      targetMs: Math.round(route.targetLatencyMs),
      remainingMs: Math.max(1, Math.round(deadlineAt - clock.now())),
      zone: site.zone,
      tried: [...tried],
      fingerprint: guard.fingerprint,
      avoided: listAvoidedIds(site.workers, service, clock.now()),
    }, deadlineAt);
    if (!reply) return undefined;
    if (reply.code !== 0) {
      throw makeErrorFromNumber(reply.code, reply.message, { retryAfterMs: reply.retryAfterMs });
    }
    const worker = site.workers.byId.get(reply.workerId);
    /*
     * Guards a server that leaves against new work from a leader that has not heard of it, such as
     * one that is cut off and does not know yet that another leads.
     */
    if (worker?.standing === 'ready' && isEligible(site.workers, worker, clock.now())) {
      recordProbe(worker, clock.now());
      return {
        worker, expectedMs: reply.expectedMs, placeId, epoch: site.workersEpoch,
      };
    }
    // Or the leader knows a server that this entry has not heard of yet.
    placeClient.report({ placeId, phase: worker ? 'dropped' : 'rejected', ...NO_TIMINGS });
    if (worker?.standing !== 'ready' || requestCount >= MAX_PLACE_REQUESTS || request.isOver()) return undefined;
    this.checkBackoff(service);
    return this.place(request, requestCount + 1);
  }

  /** Throws the refusal where no server of a service may be asked, as all that are ready rest. */
  private checkBackoff(service: string): void {
    const { site, clock } = this.parts;
    if (isServiceBlocked(site.workers, service, clock.now())) throw this.makeNoWorkerError(service);
  }

  private makeNoWorkerError(service: string): BeechliftError {
    const { site, clock } = this.parts;
    const restMs = computeShortestBackoffMs(site.workers, service, clock.now());
    if (restMs === 0) return new BeechliftError('noBackend', `no backend server of service "${service}" can take the request`, { retryAfterMs: NO_WORKER_RETRY_MS });
    return new BeechliftError('backendsResting', `all backend servers of service "${service}" asked for rest, the first for ${Math.round(restMs)} ms more`, {
      retryAfterMs: Math.round(computeRetryAfterMs(restMs, Math.random())),
    });
  }

  private chooseLocally({
    admitted, facts, deadlineAt, tried,
  }: PickRequest): PickedWorker {
    const { site, clock } = this.parts;
    const { service, route, rank } = admitted;
    const now = clock.now();
    const choice = chooseRoutedWorker(site.workers, {
      service,
      promptTokens: facts.tokens?.prompt ?? 0,
      outputTokens: facts.tokens?.expected ?? 0,
      remainingMs: deadlineAt - now,
      zone: site.zone,
      tried,
      requiresFreeSlot: false,
    }, now);
    if (!choice) throw this.makeNoWorkerError(service);
    if (tried.length === 0 && !isWaitAcceptable(choice, route.targetLatencyMs, rank)) {
      throw new BeechliftError('noSlotInTime', `the wait at service "${service}" is about ${Math.round(choice.waitMs)} ms, the target is ${route.targetLatencyMs} ms`, {
        retryAfterMs: Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, choice.waitMs)),
      });
    }
    recordProbe(choice.worker, now);
    return {
      worker: choice.worker, expectedMs: choice.waitMs + choice.ownMs, placeId: '', epoch: '',
    };
  }
}
