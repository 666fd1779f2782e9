/** What placing requests on model engines rests on. */
import type { CautionFinder } from '../quarantine/placementCaution';
import type { Arrivals } from './arrivals';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';

/** A request that asks for a slot. */
export interface PlaceAsk {
  readonly id: string;
  readonly entryId: string;
  readonly service: string;
  readonly rank: number;
  readonly promptTokens: number;
  /** Tokens that its answer is expected to have. */
  readonly outputTokens: number;
  readonly targetMs: number;
  /** When its whole answer must have come, monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly zone: string;
  readonly tried: readonly string[];
  /** The same for each resend of the request; empty where its entry tells none. */
  readonly fingerprint?: string;
  /** Backend servers that take nothing from its entry at the moment. */
  readonly avoidedIds?: readonly string[];
  readonly askedAt: number;
}

/** A request that holds a slot. */
export interface PlacedRequest {
  readonly ask: PlaceAsk;
  /** The start of the server that it was placed on; another one under the same id holds nothing. */
  readonly worker: RoutedWorker;
  readonly placedAt: number;
  /** Prompt tokens that its server was to read before its own when it was placed. */
  readonly pendingBefore: number;
  hasBegun: boolean;
}

/** Part of a report on a placed request that says nothing of times. */
export const NO_TIMES = { paceMs: 0, firstEventMs: 0, outputMs: 0 } as const;

/** All that placing rests on. */
export interface PlacementTables {
  readonly workers: RoutedWorkers;
  readonly waiting: Map<string, PlaceAsk>;
  readonly placed: Map<string, PlacedRequest>;
  readonly arrivals: Arrivals;
  readonly findCaution: CautionFinder;
  /** Refusals so far, by which those that come back are spread. */
  refusals: number;
}
