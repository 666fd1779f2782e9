import { PlaceReply } from '../protocol/generated/beechlift';
import type {
  PlacedReport, PlaceRequest, ServiceDemand, StreamOriginRecord, WorkerLoad, WorkerRateLimit,
  WorkerRecord,
} from '../protocol/generated/beechlift';
import { recordArrival } from '../core/routing/arrivalRates';
import { makePlacementTables } from '../core/routing/makePlacementTables';
import { requestSlots, placeFreed, placeWaiting } from '../core/routing/placement';
import {
  applyPlacementUpdate, expirePlaced, removeAbandonedRequest, retainPlaced,
} from '../core/routing/placementUpdates';
import type { RestrictionFinder } from '../core/quarantine/placementRestriction';
import type { PlacementDecision } from '../core/routing/placement';
import type { PlacementUpdate } from '../core/routing/placementUpdates';
import { NO_TIMINGS } from '../core/routing/placementTables';
import type { AccountCharge, SlotRequest, PlacementTables } from '../core/routing/placementTables';
import type { Mechanisms } from '../core/routing/mechanisms';
import { toOriginRecord } from '../core/routing/originRecords';
import { estimateDemand } from '../core/routing/placementWait';
import { applyRecords, isReady, makeRoutedWorkers } from '../core/routing/routedWorkers';
import type { RoutedWorkers } from '../core/routing/routedWorkers';
import type { StreamOrigins } from '../core/routing/streamOrigins';
import { LEARNING_MS } from '../core/routing/streamPlacement';
import { addPlaced, applyLoads, applyOtherLoads } from '../core/routing/workerLoads';
import { applyNamedRates, listRateLimits } from '../core/routing/workerRateLimit';
import { resultCodes } from '../errors/resultCodes';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { PlacementStream } from './placementStream';

/** What becomes of the slot, by the phase that an entry reports. */
const SLOT_PHASES: Readonly<Record<string, PlacementUpdate['phase']>> = {
  running: 'running',
  ended: 'ended',
  failed: 'failed',
  dropped: 'dropped',
  unused: 'dropped',
  rejected: 'rejected',
  unknown: 'rejected',
  unreached: 'unreached',
};

/** Phases of requests that their servers did not work on. */
const UNSERVED_PHASES: readonly string[] = ['rejected', 'unknown', 'unreached'];

/** Phases of slots that were given back before any byte was sent. */
const UNUSED_PHASES: readonly string[] = ['unused', 'unknown'];

const toSlotRequest = (request: PlaceRequest, now: number): SlotRequest => ({
  id: request.placeId,
  entryId: request.entryId,
  service: request.service,
  rank: request.rank,
  promptTokens: request.promptTokens,
  outputTokens: request.outputTokens,
  targetMs: request.targetMs,
  deadlineAt: now + request.remainingMs,
  zone: request.zone,
  tried: request.tried,
  fingerprint: request.fingerprint,
  avoidedIds: request.avoided,
  charge: { account: request.account, cost: request.cost },
  origin: request.origin,
  requestId: request.requestId,
  resumedId: request.takesUp ? request.resumedId : undefined,
  askedAt: now,
});

const toReply = (decision: PlacementDecision, delegated: boolean): PlaceReply => (
  PlaceReply.fromPartial(decision.kind === 'grant'
    ? {
      placeId: decision.id,
      workerId: decision.workerId,
      expectedMs: decision.expectedMs,
      origin: decision.origin,
      delegated,
    }
    : {
      placeId: decision.id,
      code: resultCodes[decision.code].number,
      message: decision.reason,
      retryAfterMs: decision.retryAfterMs,
    }));

/** A request that waits for a decision, and the stream on which its entry receives it. */
interface PendingRequest {
  readonly stream: PlacementStream;
  readonly request: PlaceRequest;
}

/** A request that used no slot, and what was charged for it. */
type UnplacedRequest = Pick<PlaceRequest, 'placeId'> & AccountCharge;

/** Dependencies of the placement service. */
export interface PlacementServiceParts {
  readonly clock: Clock;
  /** Called for each request that gets no slot or does not use it, to refund its account. */
  readonly handleUnplaced: (request: UnplacedRequest) => void;
  /** Finds the restriction on a request; if it is missing, no request is restricted. */
  readonly findRestriction?: RestrictionFinder | undefined;
  /** Which version began which stream; if it is missing, the service starts without knowledge. */
  readonly origins?: StreamOrigins | undefined;
  /** Whether no other leader can exist; if it is missing, none can. */
  readonly holdsLease?: (() => boolean) | undefined;
  /** Defaults to all mechanisms on. */
  readonly mechanisms?: Mechanisms | undefined;
  /** Whether it grants slots for a leader that does not know them; defaults to false. */
  readonly isDelegate?: boolean;
  /** If it is missing, nothing is logged. */
  readonly logger?: Logger | undefined;
}

/**
 * Assigns the requests of entries to slots of model engines. It is independent of the transport.
 *
 * @example
 * service.requestSlots(requests, stream); // each decision is sent to the stream when it is made
 */
export class PlacementService {
  private readonly workers: RoutedWorkers;

  private readonly tables: PlacementTables;

  private readonly pending = new Map<string, PendingRequest>();

  constructor(private readonly parts: PlacementServiceParts) {
    this.workers = makeRoutedWorkers(parts.mechanisms);
    this.tables = makePlacementTables(this.workers, parts.findRestriction, {
      origins: parts.origins,
      learnsUntil: parts.clock.now() + LEARNING_MS,
      holdsLease: parts.holdsLease,
      mayUseLent: parts.isDelegate !== true,
    });
  }

  /** Counts the requests that wait for a slot, and those that hold one. */
  countRequests(): { readonly waiting: number; readonly placed: number } {
    return { waiting: this.tables.waiting.size, placed: this.tables.placed.size };
  }

  /** Whether a request waits for a decision. */
  isWaiting(placeId: string): boolean {
    return this.pending.has(placeId);
  }

  /** Whether a request waits for a slot, or holds one that was granted here. */
  holds(placeId: string): boolean {
    return this.pending.has(placeId) || this.tables.placed.has(placeId);
  }

  /** Counts a request that arrived here and is decided elsewhere. */
  recordArrival({ service, rank }: PlaceRequest): void {
    recordArrival(this.tables.arrivalRates, service, rank, this.parts.clock.now());
  }

  /** Lists how many slots the requests that arrive here would use, by service. */
  listDemands(): ServiceDemand[] {
    const now = this.parts.clock.now();
    return [...this.tables.arrivalRates.keys()].map((service) => ({
      service, slots: estimateDemand(this.tables, service, now),
    }));
  }

  /** Sets which servers' slots another replica grants. */
  markLent(isLent: (workerId: string) => boolean): void {
    this.workers.byId.forEach((worker) => {
      worker.isLent = isLent(worker.id);
    });
  }

  /** Whether any server of a service is ready whose slots are granted here. */
  canGrant(service: string): boolean {
    return (this.workers.byService.get(service) ?? [])
      .some((worker) => !worker.isLent && isReady(worker));
  }

  /** The servers, for the leader's decision on which ones to lend. */
  get servers(): Pick<RoutedWorkers, 'byService'> {
    return this.workers;
  }

  /** Requests slots; each decision is made now or when a slot becomes free. */
  requestSlots(requests: readonly PlaceRequest[], stream: PlacementStream): void {
    const now = this.parts.clock.now();
    requests.forEach((request) => this.pending.set(request.placeId, { stream, request }));
    this.deliver(
      requestSlots(this.tables, requests.map((request) => toSlotRequest(request, now)), now),
    );
  }

  /** Applies reports on placed requests, and grants the slots that become free. */
  applyReports(reports: readonly PlacedReport[]): void {
    if (reports.length === 0) return;
    const now = this.parts.clock.now();
    reports.forEach((report) => this.applyReport(report, now));
    this.deliver(placeFreed(this.tables, now));
  }

  private applyReport({ placeId, phase: reported, ...timings }: PlacedReport, now: number): void {
    const phase = SLOT_PHASES[reported];
    if (!phase) return;
    if (UNSERVED_PHASES.includes(reported)) this.logUnserved(placeId, reported);
    if (UNUSED_PHASES.includes(reported)) this.refundPlaced(placeId);
    applyPlacementUpdate(this.tables, { id: placeId, phase, ...timings }, now);
    if (phase === 'dropped') this.cancelPending(placeId);
  }

  /*
   * An entry that hears of its slot too late places the request itself and charges it to its grant.
   * Without the refund the account would be charged twice.
   */
  private refundPlaced(placeId: string): void {
    const charge = this.tables.placed.get(placeId)?.request.charge;
    if (charge) this.parts.handleUnplaced({ placeId, ...charge });
  }

  /** Frees slots that an entry does not hold, as the grant or the final report was lost. */
  releaseUnheld(entryId: string, heldIds: readonly string[]): void {
    retainPlaced(this.tables, entryId, new Set(heldIds));
  }

  /** Applies reports of entries on streams whose servers this leader did not choose. */
  applyOrigins(records: readonly StreamOriginRecord[]): void {
    const now = this.parts.clock.now();
    records.forEach((record) => this.tables.origins.recordStart(toOriginRecord(record, now)));
  }

  /** Applies changes of backend servers. */
  applyRecords(records: readonly WorkerRecord[]): void {
    applyRecords(this.workers, records, this.parts.clock.now());
  }

  /** Applies the load that entries put on backend servers without a grant from here. */
  applyLoads(loads: readonly WorkerLoad[]): void {
    applyLoads(this.workers, loads);
  }

  /** Applies the loads of all entries and replicas, less what was placed here. */
  applyOtherLoads(totals: readonly WorkerLoad[]): void {
    applyOtherLoads(this.workers, totals);
  }

  /** Adds the requests placed here to the loads that entries reported. */
  addPlaced(loads: WorkerLoad[]): WorkerLoad[] {
    return addPlaced(loads, this.workers);
  }

  /** Applies the rate limits that backend servers named to an entry. */
  applyNamedRates(records: readonly WorkerRateLimit[]): void {
    applyNamedRates(this.workers, records, this.parts.clock.now());
  }

  /** Lists the rate limits of backend servers that are in force. */
  listRateLimits(): WorkerRateLimit[] {
    return listRateLimits(this.workers);
  }

  /** Frees the slots of entries that are gone and of requests past their deadline. */
  expire(isConnected: (entryId: string) => boolean): void {
    expirePlaced(this.tables, isConnected, this.parts.clock.now());
  }

  /** Decides on all waiting requests, and sends keepalives to the entries of those that wait on. */
  placeWaiting(): void {
    this.deliver(placeWaiting(this.tables, this.parts.clock.now()));
    new Set([...this.pending.values()].map(({ stream }) => stream))
      .forEach((stream) => stream.keepAlive());
  }

  /** Closes a stream: frees the slots whose grants were not sent, and drops waiting requests. */
  closeStream(stream: PlacementStream): void {
    stream.close().forEach(({ placeId, code }) => {
      if (code === 0) this.releaseGrant(placeId);
    });
    [...this.pending]
      .filter(([, pending]) => pending.stream === stream)
      .forEach(([placeId]) => {
        removeAbandonedRequest(this.tables, placeId);
        this.cancelPending(placeId);
      });
  }

  private logUnserved(placeId: string, phase: string): void {
    const placed = this.tables.placed.get(placeId);
    if (!placed) return;
    this.parts.logger?.info('entry could not use the backend server of its slot', {
      worker: placed.worker.id, entry: placed.request.entryId, phase,
    });
  }

  private cancelPending(placeId: string): void {
    const pending = this.pending.get(placeId);
    this.pending.delete(placeId);
    if (pending) this.parts.handleUnplaced(pending.request);
  }

  private releaseGrant(placeId: string): void {
    this.applyReport({ placeId, phase: 'unused', ...NO_TIMINGS }, this.parts.clock.now());
  }

  private deliver(decisions: readonly PlacementDecision[]): void {
    decisions.forEach((decision) => {
      const pending = this.pending.get(decision.id);
      this.pending.delete(decision.id);
      if (!pending) return;
      if (decision.kind === 'refuse') this.parts.handleUnplaced(pending.request);
      pending.stream.add(toReply(decision, this.parts.isDelegate ?? false));
    });
  }
}
