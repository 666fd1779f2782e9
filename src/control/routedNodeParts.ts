import type {
  AnnounceReply, ConfirmReply, LogMessage, PublishReply, PublishRequest, Replica,
  SuspectRecord, WorkerAnnouncement, WorkerRecord,
} from '../protocol/generated/beechlift';
import type { StoredLog } from '../core/log/logTypes';
import type { Mechanisms } from '../core/routing/mechanisms';
import type { LogStore } from '../disk/logStore';
import type { RoutingReader } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import type { Clock, SuspensionDetector } from '../utils/clock';
import type { RecordCache } from './recordCache';

/** Calls to the other replicas, and the report of a disk failure. */
export interface RoutedPort {
  readonly sendMessage: (message: LogMessage, address: string) => void;
  readonly publish: (request: PublishRequest, address: string) => Promise<PublishReply>;
  /** Forwards an announcement; one that may wait can be sent a little later, with others. */
  readonly announce: (
    announcement: WorkerAnnouncement, address: string, mayWait: boolean,
  ) => Promise<AnnounceReply>;
  readonly confirm: (address: string) => Promise<ConfirmReply>;
  readonly failStorage: (error: unknown) => void;
}

/** Dependencies and settings of a node. */
export interface RoutedNodeParts {
  readonly self: Replica;
  readonly founders: readonly Replica[];
  readonly stored: StoredLog;
  readonly store: LogStore;
  /** Backend servers that were cached before a restart. */
  readonly cachedWorkers: readonly WorkerRecord[];
  readonly workerCache: Pick<RecordCache<WorkerRecord>, 'saveIfChanged'>;
  /** Suspects that were cached before a restart. */
  readonly cachedSuspects: readonly SuspectRecord[];
  readonly suspectCache: Pick<RecordCache<SuspectRecord>, 'saveIfChanged'>;
  readonly readRouting: RoutingReader;
  readonly port: RoutedPort;
  readonly clock: Clock;
  /** When this process started, on the same clock. */
  readonly startedAt: number;
  readonly suspension: SuspensionDetector;
  readonly logger: Logger;
  /** Duration of the lease that a watch reply grants to an entry, in milliseconds. */
  readonly leaseMs: number;
  /** Target number of voters of the site. */
  readonly voterCount: number;
  /** What accounts may use beyond their limits, summed over all entries. */
  readonly limitSlack: number;
  /** Defaults to all mechanisms on. */
  readonly mechanisms?: Mechanisms;
}
