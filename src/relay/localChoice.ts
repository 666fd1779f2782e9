import {
  recordProbe, isServiceBlocked, computeShortestAllowanceMs, computeShortestBackoffMs,
} from '../core/routing/workerEligibility';
import { explainVersionGone, hasOriginServer, VERSION_GONE_RETRY_MS } from '../core/routing/streamOrigin';
import type { StreamOrigin } from '../core/routing/streamOrigin';
import type { SampleOptions } from '../core/routing/candidateSample';
import { computeBackoffRetryAfterMs } from '../core/routing/workerBackoff';
import { chooseRoutedWorker, isWaitAcceptable } from '../core/routing/workerChoice';
import { takeWorkerAllowance } from '../core/routing/workerRateLimit';
import { BeechliftError } from '../errors/beechliftError';
import type { Clock } from '../utils/clock';
import type { PickedWorker, PickRequest } from './pickRequest';
import type { RelaySite } from './relaySite';
import type { WorkerConnections } from './workerConnections';

/** Bounds on the Retry-After of a request that is refused because of its wait, in milliseconds. */
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 3_000;
/** Retry-After if no server is known, in milliseconds: one or two announcement intervals. */
export const NO_WORKER_RETRY_MS = 1_000;
/** Retry-After of an entry that is cut off, in milliseconds: other entries can serve at once. */
const CUT_OFF_RETRY_MS = 250;

/** Dependencies of a choice without the leader. */
export interface LocalChoiceParts {
  readonly site: RelaySite;
  readonly connections: Pick<WorkerConnections, 'hasIdle'>;
  readonly clock: Clock;
  /** Defaults to `Math.random`. */
  readonly drawRandom?: (() => number) | undefined;
}

/**
 * Chooses the backend server for a request by what this entry knows, without the leader.
 *
 * @example
 * const picked = localChoice.choose(request, undefined);
 */
export class LocalChoice {
  constructor(private readonly parts: LocalChoiceParts) {}

  /** Throws the refusal if all ready servers of a service are backing off. */
  checkBackoff(service: string): void {
    const { site, clock } = this.parts;
    if (isServiceBlocked(site.workers, service, clock.now())) throw this.makeNoWorkerError(service);
  }

  private makeNoWorkerError(service: string): BeechliftError {
    const { site, clock } = this.parts;
    const now = clock.now();
    const restMs = computeShortestBackoffMs(site.workers, service, now);
    const limitedMs = computeShortestAllowanceMs(site.workers, service, now);
    if (restMs === 0 && limitedMs > 0) {
      return new BeechliftError('backendsLimited', `all backend servers of service "${service}" have named a rate limit, the first accepts a request in ${Math.round(limitedMs)} ms`, {
        retryAfterMs: Math.round(computeBackoffRetryAfterMs(limitedMs, Math.random())),
      });
    }
    if (restMs === 0) return new BeechliftError('noBackend', `no backend server of service "${service}" can accept the request`, { retryAfterMs: NO_WORKER_RETRY_MS });
    return new BeechliftError('backendsResting', `all backend servers of service "${service}" are backing off, the first for ${Math.round(restMs)} ms more`, {
      retryAfterMs: Math.round(computeBackoffRetryAfterMs(restMs, Math.random())),
    });
  }

  /** Lists the servers to which an entry that is cut off has no open connection. */
  private listUnreachable(service: string): ReadonlySet<string> {
    const { site: { reach, workers }, connections } = this.parts;
    if (!reach.isCutOff) return new Set();
    return new Set((workers.byService.get(service) ?? [])
      .filter(({ address }) => reach.isSilent || !connections.hasIdle(address))
      .map(({ id }) => id));
  }

  /** Servers of other services are chosen by all entries all the time, from few candidates. */
  private makeSample(service: string): SampleOptions | undefined {
    const { site, drawRandom = Math.random } = this.parts;
    return site.isPlaced(service) ? { entryCount: site.entryCount, drawRandom } : undefined;
  }

  /**
   * Chooses a server; throws the refusal if there is none.
   *
   * @param origin set if the request continues a stream: only servers of this version count
   */
  choose({
    admitted, facts, deadlineAt, tried,
  }: PickRequest, origin: StreamOrigin | undefined): PickedWorker {
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
      avoided: this.listUnreachable(service),
      requiresFreeSlot: site.isBrittle(service),
      origin,
      sample: this.makeSample(service),
    }, now);
    if (!choice && site.reach.isCutOff) throw new BeechliftError('backendsUnreachable', 'this entry reaches no backend server, others may', { retryAfterMs: CUT_OFF_RETRY_MS });
    if (!choice && site.isBrittle(service)) throw new BeechliftError('noSlotInTime', `no server of service "${service}" has a free slot, and they bear few requests that they turn away`, { retryAfterMs: MAX_RETRY_MS });
    if (!choice && origin && !hasOriginServer(site.workers, service, origin)) {
      throw new BeechliftError('streamVersionGone', explainVersionGone(origin), { retryAfterMs: VERSION_GONE_RETRY_MS });
    }
    if (!choice) throw this.makeNoWorkerError(service);
    if (tried.length === 0 && !isWaitAcceptable(choice, route.targetLatencyMs, rank)) {
      throw new BeechliftError('noSlotInTime', `the estimated wait at service "${service}" is ${Math.round(choice.waitMs)} ms, the target latency is ${route.targetLatencyMs} ms`, {
        retryAfterMs: Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, choice.waitMs)),
      });
    }
    recordProbe(choice.worker, now);
    takeWorkerAllowance(choice.worker, now);
    return {
      worker: choice.worker,
      expectedMs: choice.waitMs + choice.ownMs,
      placeId: '',
      epoch: '',
      origin,
    };
  }
}
