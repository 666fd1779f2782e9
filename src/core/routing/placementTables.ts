/** State on which the placement of requests on model engines is based. */
import type { RestrictionFinder } from '../quarantine/placementRestriction';
import type { ArrivalRates } from './arrivalRates';
import type { PairReach } from './pairReach';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import type { StreamOrigin } from './streamOrigin';
import type { StreamOrigins } from './streamOrigins';
import type { WaitingQueue } from './waitingQueue';

/** What the leader charged an account for a request, in the unit of its limit. */
export interface AccountCharge {
  readonly account: string;
  readonly cost: number;
}

/** A request for a slot. */
export interface SlotRequest {
  readonly id: string;
  readonly entryId: string;
  readonly service: string;
  readonly rank: number;
  readonly promptTokens: number;
  /** Expected tokens of its answer. */
  readonly outputTokens: number;
  /** Target latency of its route, in milliseconds. */
  readonly targetMs: number;
  /** When its whole answer is due, monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly zone: string;
  /** Backend servers that it has already been sent to. */
  readonly tried: readonly string[];
  /** Identical for all retries of the request; empty when its entry sends none. */
  readonly fingerprint?: string;
  /** Backend servers that do not accept requests from its entry at the moment. */
  readonly avoidedIds?: readonly string[];
  /** If it is missing, nothing was charged. */
  readonly charge?: AccountCharge;
  /** Set if the request continues a stream: only servers of this version may do so. */
  readonly origin?: StreamOrigin | undefined;
  /** The caller's id of the attempt if another one can take up its stream; empty otherwise. */
  readonly requestId?: string;
  /**
   * Attempt that began the stream which its caller takes up, empty if the caller named none;
   * undefined if the request begins a stream or its entry knows the origin.
   */
  readonly resumedId?: string | undefined;
  /** When it arrived at the leader, monotonic milliseconds. */
  readonly askedAt: number;
}

/** A request that holds a slot. */
export interface PlacedRequest {
  readonly request: SlotRequest;
  /** Server incarnation that it was placed on; another one under the same id is unaffected. */
  readonly worker: RoutedWorker;
  readonly placedAt: number;
  /** Prompt tokens that its server still had to process when it was placed. */
  readonly pendingTokensBefore: number;
  /** Whether its answer has started. */
  hasStarted: boolean;
}

/** Timing fields of a report that has no timings. */
export const NO_TIMINGS = { paceMs: 0, firstEventMs: 0, outputMs: 0 } as const;

/** All state of the placement. */
export interface PlacementTables {
  readonly workers: RoutedWorkers;
  readonly waiting: WaitingQueue;
  /**
   * Services without a free slot, so that further requests need not be tried. Keyed together with
   * the avoided servers and the version, because other requests may still find free slots.
   */
  readonly full: Set<string>;
  /** Services of which a slot was freed since their waiting requests were tried. */
  readonly freed: Set<string>;
  readonly placed: Map<string, PlacedRequest>;
  readonly arrivalRates: ArrivalRates;
  readonly findRestriction: RestrictionFinder;
  /** Which entries do not reach which servers. */
  readonly reach: PairReach;
  /** Which version began which stream. */
  readonly origins: StreamOrigins;
  /** Latest slots of attempts that have not begun a stream as far as is known, by attempt. */
  readonly grantedStreams: Map<string, string>;
  /**
   * Until when entries may report streams that began before these tables were made, and servers
   * may announce themselves that these tables lack, monotonic milliseconds.
   */
  readonly learnsUntil: number;
  /** Whether no other leader can exist, which may know more versions. */
  readonly holdsLease: () => boolean;
  /** Whether servers whose slots another replica grants are used when no other slot is free. */
  readonly mayUseLent: boolean;
  /** Number of refusals so far, by which the retries of refused callers are spread. */
  refusals: number;
}
