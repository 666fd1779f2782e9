import { NO_RESTRICTION } from '../quarantine/placementRestriction';
import type { RestrictionFinder } from '../quarantine/placementRestriction';
import { makeArrivalRates } from './arrivalRates';
import { PairReach } from './pairReach';
import type { PlacementTables } from './placementTables';
import type { RoutedWorkers } from './routedWorkers';
import { StreamOrigins } from './streamOrigins';
import { WaitingQueue } from './waitingQueue';

/** Parts of the tables that have a default. */
type PlacementOptions = Partial<Pick<PlacementTables, 'origins' | 'learnsUntil' | 'holdsLease' | 'mayUseLent'>>;

/** Makes empty tables for the given backend servers. */
export const makePlacementTables = (
  workers: RoutedWorkers,
  findRestriction: RestrictionFinder = () => NO_RESTRICTION,
  streams: PlacementOptions = {},
): PlacementTables => ({
  workers,
  waiting: new WaitingQueue(workers),
  full: new Set(),
  freed: new Set(),
  placed: new Map(),
  arrivalRates: makeArrivalRates(),
  findRestriction,
  reach: new PairReach(),
  origins: streams.origins ?? new StreamOrigins(),
  grantedStreams: new Map(),
  learnsUntil: streams.learnsUntil ?? 0,
  holdsLease: streams.holdsLease ?? (() => true),
  mayUseLent: streams.mayUseLent ?? false,
  refusals: 0,
});
