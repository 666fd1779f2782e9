import type { RoutedWorker } from '../core/routing/routedWorkers';
import type { StreamOrigin } from '../core/routing/streamOrigin';
import type { AdmittedRequest } from './admitRequest';
import type { RequestFacts } from './requestDialect';
import type { RequestGuard } from './requestGuard';

/** A request that needs a backend server. */
export interface PickRequest {
  readonly admitted: AdmittedRequest;
  readonly facts: RequestFacts;
  readonly deadlineAt: number;
  /** Ids of backend servers that were tried before. */
  readonly tried: readonly string[];
  /** Set if the request continues a stream: only servers of this version may be chosen. */
  readonly origin?: StreamOrigin | undefined;
  /** Identifies the request, and knows whether it is suspected of crashing servers. */
  readonly guard: Pick<RequestGuard, 'fingerprint' | 'isUnsuspected'>;
  /** Returns whether the request no longer needs a server. */
  readonly isAbandoned: () => boolean;
  /** Receives a function that cancels the request while it waits for a slot. */
  readonly onWaiting: (cancel: () => void) => void;
}

/** The backend server that was chosen for a request. */
export interface PickedWorker {
  readonly worker: RoutedWorker;
  readonly expectedMs: number;
  /** Id of the slot that the leader granted; empty if the entry chose the server. */
  readonly placeId: string;
  /** Epoch of the leader's server table, or of its delegate, that counts the slot. */
  readonly epoch: string;
  /** Version that the server was required to have; undefined if the request begins a stream. */
  readonly origin?: StreamOrigin | undefined;
}
