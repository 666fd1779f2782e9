/** What placing requests on model engines rests on. */
import type { RestrictionFinder } from '../quarantine/placementRestriction';
import type { ArrivalRates } from './arrivalRates';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';

/** A request that asks for a slot. */
export interface SlotRequest {
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
  readonly request: SlotRequest;
  /** The start of the server that it was placed on; another one under the same id holds nothing. */
  readonly worker: RoutedWorker;
  readonly placedAt: number;
  /** Prompt tokens that its server was to read before its own when it was placed. */
  readonly pendingTokensBefore: number;
  hasStarted: boolean;
}

/** Part of a report on a placed request that says nothing of times. */
export const NO_TIMINGS = { paceMs: 0, firstEventMs: 0, outputMs: 0 } as const;

/** All that placing rests on. */
export interface PlacementTables {
  readonly workers: RoutedWorkers;
  readonly waiting: Map<string, SlotRequest>;
  readonly placed: Map<string, PlacedRequest>;
  readonly arrivalRates: ArrivalRates;
  readonly findRestriction: RestrictionFinder;
  /** Refusals so far, by which those that come back are spread. */
  refusals: number;
}
