import type {
  AnnounceReply, ConfirmReply, LogMessage, PublishReply, PublishRequest, Replica,
  SuspectRecord, WorkerAnnouncement, WorkerRecord,
} from '../protocol/generated/beechlift';
import type { StoredLog } from '../core/log/logTypes';
import type { Mechanisms } from '../core/routing/mechanisms';
import type { LogStore } from '../disk/logStore';
import type { RoutingReader } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import type { Clock, SuspensionWatch } from '../utils/clock';
import type { RecordCache } from './recordCache';

/** How a node reaches the other replicas. */
export interface RoutedPort {
  readonly sendMessage: (message: LogMessage, address: string) => void;
  readonly publish: (request: PublishRequest, address: string) => Promise<PublishReply>;
  readonly announce: (announcement: WorkerAnnouncement, address: string) => Promise<AnnounceReply>;
  readonly confirm: (address: string) => Promise<ConfirmReply>;
  readonly failStorage: (error: unknown) => void;
}

/** What a node is made from. */
export interface RoutedNodeParts {
  readonly self: Replica;
  readonly founders: readonly Replica[];
  readonly stored: StoredLog;
  readonly store: LogStore;
  /** Backend servers that were known before a restart. */
  readonly remembered: readonly WorkerRecord[];
  readonly memo: Pick<RecordCache<WorkerRecord>, 'note'>;
  /** Requests that were suspected before a restart of having ended servers. */
  readonly rememberedSuspects: readonly SuspectRecord[];
  readonly suspectMemo: Pick<RecordCache<SuspectRecord>, 'note'>;
  readonly readRouting: RoutingReader;
  readonly port: RoutedPort;
  readonly clock: Clock;
  /** When this process started, by the same clock. */
  readonly startedAt: number;
  readonly suspension: SuspensionWatch;
  readonly logger: Logger;
  /** How long an entry may rely on what it was told, in milliseconds. */
  readonly leaseMs: number;
  /** Voters that the site is to have. */
  readonly voterCount: number;
  /** What accounts may use beyond their limits, over all entries together. */
  readonly limitSlack: number;
  /** All are on where none are named. */
  readonly mechanisms?: Mechanisms;
}
