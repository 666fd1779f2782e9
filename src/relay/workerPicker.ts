import { randomUUID } from 'node:crypto';
import { MAX_CONTINUATION_WAIT_MS } from '../core/routing/placementWait';
import { NO_TIMINGS } from '../core/routing/placementTables';
import { listAvoidedIds, isEligible, recordProbe } from '../core/routing/workerEligibility';
import { findOrigin } from '../core/routing/originLookup';
import type { OriginLookup } from '../core/routing/originLookup';
import { hasAllowance } from '../core/routing/rateAllowance';
import { isReachable, isReady, recordSlotWait } from '../core/routing/routedWorkers';
import {
  canContinue, ORIGIN_UNKNOWN, ORIGIN_UNKNOWN_RETRY_MS,
  VERSIONS_UNCONFIRMED,
} from '../core/routing/streamOrigin';
import type { StreamOrigin } from '../core/routing/streamOrigin';
import { isResumableStream } from '../core/routing/routeTable';
import { isBackingOff } from '../core/routing/workerBackoff';
import type { RoutedAccount } from '../manifest/routing';
import { BeechliftError, makeErrorFromNumber } from '../errors/beechliftError';
import { resultCodes } from '../errors/resultCodes';
import type { Clock } from '../utils/clock';
import {
  chargeAccount, computeCost, makeLimitError, makeNoLeaseError,
} from './admitRequest';
import { GrantWait } from './grantWait';
import { LocalChoice, NO_WORKER_RETRY_MS } from './localChoice';
import type { PickedWorker, PickRequest } from './pickRequest';
import { computeLeaseWaitMs } from './leaseWait';
import type { PlaceClient } from './placeClient';
import type { RelaySite } from './relaySite';
import type { WorkerConnections } from './workerConnections';

/** Dependencies of the picker. */
export interface WorkerPickerParts {
  readonly site: RelaySite;
  readonly placeClient: PlaceClient;
  readonly connections: Pick<WorkerConnections, 'hasIdle'>;
  /** Asks the leader for its server table; if it is missing, only regular replies bring it. */
  readonly requestTable?: () => void;
  readonly clock: Clock;
}

/** How much earlier than its time a timer may fire by the clock, in milliseconds. */
const EARLY_TIMER_MS = 2;
/** Longest interval at which a request whose stream is unknown asks for a leader, in ms. */
const LEADER_RETRY_MS = 100;
/** Passed on for a stream of which only a leader may tell the version. */
const UNKNOWN_ORIGIN: OriginLookup = { kind: 'unknown' };
/** Most slot requests to the leader for one choice, if it grants slots at unusable servers. */
const MAX_PLACE_REQUESTS = 2;

/**
 * Chooses the backend server for a request. The control leader grants the scarce slots of model
 * engines to all entries. This entry chooses by itself for other services, and for all services
 * while no leader is reachable.
 *
 * @example
 * const picked = await picker.pick(request);
 */
export class WorkerPicker {
  /** Prefix of slot ids, unique to this process. */
  private readonly placeIdPrefix = randomUUID().slice(0, 8);

  private lastPlaceNumber = 0;

  private readonly grantWait = new GrantWait();

  /** Chooses without the leader. */
  private readonly local: LocalChoice;

  constructor(private readonly parts: WorkerPickerParts) {
    this.local = new LocalChoice(parts);
  }

  /**
   * Resolves with the server, or with undefined if the request ended meanwhile; throws the refusal
   * if there is no server.
   */
  async pick(request: PickRequest): Promise<PickedWorker | undefined> {
    this.local.checkBackoff(request.admitted.service);
    const lookup = this.findOrigin(request);
    return lookup.kind === 'unknown' || lookup.kind === 'assumed'
      ? this.pickUnknown(request, this.parts.clock.now())
      : this.pickByOrigin(request, lookup);
  }

  /** Picks a server, of the version that began the request's stream if it continues one. */
  private async pickByOrigin(
    request: PickRequest,
    lookup: OriginLookup,
  ): Promise<PickedWorker | undefined> {
    const { site, clock } = this.parts;
    const usesLeader = this.canUseLeader(request);
    const placed = usesLeader ? await this.place(request, lookup) : undefined;
    if (placed) return placed;
    if (request.isAbandoned()) return undefined;
    await this.requireLease(request);
    // A suspect request may run only one copy at a time, which only the leader can ensure.
    if (site.isPlaced(request.admitted.service) && !request.guard.isUnsuspected) throw new BeechliftError('noSlotInTime', 'backend servers crashed while they ran this request, and the control leader cannot place it', { retryAfterMs: NO_WORKER_RETRY_MS });
    const { tried, facts, admitted: { account } } = request;
    if (tried.length > 0 || !account || chargeAccount(site, account, facts, clock.now())) {
      return this.local.choose(request, lookup.origin);
    }
    const until = Math.min(request.deadlineAt, clock.now() + computeLeaseWaitMs(facts));
    const mayWait = (now: number): boolean => usesLeader || site.accounts.isLeaderless(now);
    const picked = await this.grantWait.run(
      () => this.pickAgain(request, account, lookup),
      () => request.isAbandoned() || clock.now() + EARLY_TIMER_MS >= until || !mayWait(clock.now()),
    );
    if (picked || request.isAbandoned()) return picked;
    throw makeLimitError(site, account, facts, clock.now());
  }

  /** Tries again to pick a server for a request that did not fit into its account's grant. */
  private async pickAgain(
    request: PickRequest,
    account: RoutedAccount,
    lookup: OriginLookup,
  ): Promise<PickedWorker | undefined> {
    const { site, clock } = this.parts;
    if (request.isAbandoned()) return undefined;
    const isPlaced = site.isPlaced(request.admitted.service);
    const placed = isPlaced ? await this.place(request, lookup) : undefined;
    if (placed || request.isAbandoned() || !site.isServing) return placed;
    const cost = computeCost(account, request.facts);
    const isCharged = site.accounts.retrySpend(account, cost, clock.now());
    return isCharged ? this.local.choose(request, lookup.origin) : undefined;
  }

  /** Whether the leader is asked for a slot, whatever the request is. */
  private canUseLeader({ admitted: { service } }: PickRequest): boolean {
    const { site } = this.parts;
    return site.isPlaced(service) && !site.reach.isCutOff;
  }

  /**
   * Picks a server for a request whose stream another entry began: the leader knows its version, or
   * confirms that there is only one. Waits for a leader while there is none, as the caller would
   * lose what it has if the request were refused at once.
   *
   * Whoever began the stream had learnt its version from a leader before. So a table that a leader
   * sent after the request came has that version; the table that this entry had then may lack it.
   *
   * @param since when the request came, monotonic milliseconds
   */
  private async pickUnknown(
    request: PickRequest,
    since: number,
  ): Promise<PickedWorker | undefined> {
    const { site, clock, requestTable } = this.parts;
    const lookup = this.findOrigin(request);
    const isAssumed = lookup.kind === 'assumed';
    // A new leader may still hear of the stream, if its caller names it.
    const isSettled = site.isTableSettled || request.facts.resumedId === '';
    const isConfirmed = isAssumed && isSettled && site.isTableConfirmedSince(since);
    if (isConfirmed) return this.pickByOrigin(request, lookup);
    if (!isAssumed || !isSettled || this.canUseLeader(request)) {
      const placed = await this.place(request, UNKNOWN_ORIGIN);
      if (placed) return placed;
    } else {
      requestTable?.();
    }
    if (request.isAbandoned()) return undefined;
    const isOver = clock.now() - since >= MAX_CONTINUATION_WAIT_MS
      || clock.now() >= request.deadlineAt;
    if (isOver || (!isAssumed && site.reach.isCutOff)) {
      throw new BeechliftError('streamOriginUnknown', isAssumed ? VERSIONS_UNCONFIRMED : ORIGIN_UNKNOWN, { retryAfterMs: ORIGIN_UNKNOWN_RETRY_MS });
    }
    await site.waitReply(LEADER_RETRY_MS);
    return this.pickUnknown(request, since);
  }

  /** Finds the version that began the request's stream, as far as this entry knows. */
  private findOrigin({ admitted, facts, origin }: PickRequest): OriginLookup {
    const { site, placeClient, clock } = this.parts;
    const { service, route } = admitted;
    const isTakenUp = isResumableStream(route) && facts.lastEventId !== '';
    const resumedId = isTakenUp ? facts.resumedId : undefined;
    const source = { find: (id: string) => placeClient.findOrigin(id) };
    return findOrigin(site.workers, source, { service, origin, resumedId }, clock.now());
  }

  /**
   * Whether any server of a service can accept a request now; the leader keeps limits itself.
   *
   * @param origin set if the request continues a stream: only servers of this version count
   */
  hasAvailableWorker(service: string, origin?: StreamOrigin): boolean {
    const now = this.parts.clock.now();
    const { site, site: { workers } } = this.parts;
    if (site.reach.isCutOff) return false;
    return (workers.byService.get(service) ?? [])
      .some((worker) => isReady(worker)
        && canContinue(worker, origin)
        && !isBackingOff(worker.backoff, now)
        && (site.isPlaced(service) || hasAllowance(worker.rateLimit.allowance, now))
        && isReachable(workers, worker, now));
  }

  private async place(
    request: PickRequest,
    lookup: OriginLookup,
    requestCount = 1,
  ): Promise<PickedWorker | undefined> {
    const { site, placeClient, clock } = this.parts;
    const {
      admitted, facts, tried, guard, deadlineAt,
    } = request;
    const {
      account, service, rank, route,
    } = admitted;
    this.lastPlaceNumber += 1;
    const placeId = `${this.placeIdPrefix}${this.lastPlaceNumber}`;
    request.onWaiting(() => placeClient.cancel(placeId));
    const cost = account && tried.length === 0 ? computeCost(account, facts) : 0;
    const askedAt = clock.now();
    const reply = await placeClient.place({
      placeId,
      entryId: site.entryId,
      service,
      account: account?.name ?? '',
      cost,
      rank,
      promptTokens: facts.tokens?.prompt ?? 0,
      outputTokens: facts.tokens?.expected ?? 0,
      targetMs: Math.round(route.targetLatencyMs),
      remainingMs: Math.max(1, Math.round(deadlineAt - clock.now())),
      zone: site.zone,
      tried: [...tried],
      fingerprint: guard.fingerprint,
      avoided: listAvoidedIds(site.workers, service, clock.now()),
      requestId: isResumableStream(route) ? facts.requestId : '',
      // The leader may have heard of another version before this entry.
      origin: lookup.kind === 'known' ? lookup.origin : undefined,
      takesUp: lookup.kind === 'assumed' || lookup.kind === 'unknown',
      resumedId: facts.resumedId,
    }, deadlineAt);
    if (!reply) return undefined;
    const waitedMs = clock.now() - askedAt;
    if (reply.code === 0) recordSlotWait(site.workers, service, waitedMs);
    if (reply.code === resultCodes.noSlotInTime.number) {
      recordSlotWait(site.workers, service, Infinity);
    }
    if (reply.code !== 0) {
      throw makeErrorFromNumber(reply.code, reply.message, { retryAfterMs: reply.retryAfterMs });
    }
    await this.requireLease(request).catch((error: unknown) => {
      placeClient.report({ placeId, phase: 'unused', ...NO_TIMINGS });
      throw error;
    });
    const worker = site.workers.byId.get(reply.workerId);
    // A leader of an earlier release does not restrict the version.
    const origin = reply.origin ?? lookup.origin;
    const isProven = origin !== undefined || lookup.kind === 'free';
    /*
     * A server that is leaving must get no new requests. A partitioned leader that was replaced may
     * not know that it is leaving.
     */
    const isUsable = worker?.standing === 'ready' && isProven && canContinue(worker, origin);
    if (isUsable && isEligible(site.workers, worker, clock.now())) {
      recordProbe(worker, clock.now());
      const epoch = reply.delegated ? site.delegateEpoch : site.workersEpoch;
      if (account && reply.delegated) site.accounts.recordDelegated(account, cost, clock.now());
      else if (account) site.accounts.recordPlaced(account, cost, clock.now());
      return {
        worker, expectedMs: reply.expectedMs, placeId, epoch, origin,
      };
    }
    // `unknown` means that this entry does not know the server yet.
    placeClient.report({ placeId, phase: worker ? 'unused' : 'unknown', ...NO_TIMINGS });
    if (worker?.standing !== 'ready' || requestCount >= MAX_PLACE_REQUESTS || request.isAbandoned()) return undefined;
    this.local.checkBackoff(service);
    return this.place(request, lookup, requestCount + 1);
  }

  /*
   * Guards against requests to servers that left while the request waited for a slot. Without a
   * lease, the table of this entry may lack what they announced.
   */
  private async requireLease({ facts }: PickRequest): Promise<void> {
    const { site } = this.parts;
    if (site.isServing) return;
    await site.waitServing(computeLeaseWaitMs(facts));
    if (!site.isServing) throw makeNoLeaseError();
  }
}
