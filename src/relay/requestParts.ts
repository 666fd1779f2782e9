import type { BodyReader } from '../bodies/bodyReader';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { OpenRequests } from './openRequests';
import type { PlaceClient } from './placeClient';
import type { RelayMetrics } from './relayMetrics';
import type { RelaySite } from './relaySite';
import type { RequestDialect } from './requestDialect';
import type { WorkerConnections } from './workerConnections';
import type { WorkerPicker } from './workerPicker';

/** Dependencies that all requests of an entry share. */
export interface RequestParts {
  readonly site: RelaySite;
  readonly dialect: RequestDialect;
  readonly connections: WorkerConnections;
  readonly picker: WorkerPicker;
  readonly placeClient: PlaceClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
  readonly openRequests: OpenRequests;
  readonly bodies: BodyReader;
  /** Tells the leader the state of this entry at once. */
  readonly reportState: () => void;
  /** Reports that the server at an address does not answer a request. */
  readonly reportSilence: (address: string) => void;
}
