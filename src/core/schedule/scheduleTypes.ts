import type {
  Announcement, AskRequest, ReportRequest, RegisterRequest,
} from '../../protocol/generated/beechlift';
import type { ResultCode } from '../../errors/resultCodes';
import type {
  ClientAccount, Limits, Model, Pool, Tier,
} from '../../manifest/manifest';
import type { LengthModel } from './lengthModel';
import type { SpeedTable } from './speedModel';

/** Whether a worker takes its full load, or only probes after it proved slow. */
export type WorkerPace = 'steady' | 'eased';

/** Whether requests arrive at a worker: it takes all, none for a pause, or one as a probe. */
export type WorkerReach = 'reached' | 'suspended' | 'probed';

/** Where a worker stands while an order changes it: it takes work only when it serves. */
export type OrderPhase = 'serving' | 'draining' | 'loading';

/** A model as a worker is to carry it. */
export interface DesiredModel {
  readonly name: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
}

/** All that a worker of a pool is to carry; an order always tells the whole of it. */
export interface DesiredState {
  readonly role: Pool['role'];
  readonly models: readonly DesiredModel[];
  readonly digest: string;
}

/** What a backend server made of an order. */
export type OrderResult = 'taken' | 'outbid' | 'failed';

/** What the owner of a pool knows of its orders. */
export interface OrderState {
  desired: DesiredState | undefined;
  /** No order before this, monotonic milliseconds: an earlier owner's may still arrive. */
  allowedAt: number;
  /** When the weight store bears the next load. */
  nextLoadAt: number;
}

/** When a request that has ended held its slot, monotonic milliseconds. */
export interface EndedRequest {
  readonly grantedAt: number;
  readonly endedAt: number;
}

/** A backend server of the pool, as its owner knows it. */
export interface WorkerEntity {
  readonly id: string;
  incarnation: string;
  address: string;
  zone: string;
  hardware: string;
  targets: readonly string[];
  slots: number;
  canResume: boolean;
  leaving: boolean;
  /** When it last said that it leaves, monotonic milliseconds. */
  lastLeavingAt: number;
  announcedAt: number;
  /** Requests running there that are not this system's, from its reported load. */
  externalRequests: number;
  /** Requests granted here and not yet reported as ended. */
  readonly running: Set<string>;
  /** Requests that ended of late: a reported load that lags may still count them. */
  ended: EndedRequest[];
  /** Prompt prefixes dispatched there, oldest first. */
  readonly prefixes: Map<string, number>;
  /** Observed time over expected time, smoothed; 1 is as expected. */
  slowness: number;
  pace: WorkerPace;
  reach: WorkerReach;
  /** When a request last failed to arrive, monotonic milliseconds. */
  suspendedAt: number;
  /** How long it is left alone from then on. */
  pauseMs: number;
  /** Whether it takes orders. */
  acceptsOrders: boolean;
  /** Digest of the state that it says it carries. */
  reportedDigest: string;
  /** Digest of the state that it was last ordered to carry. */
  orderedDigest: string;
  orderedAt: number;
  orderPhase: OrderPhase;
  /** When its turn last changed, monotonic milliseconds. */
  orderPhaseAt: number;
}

/**
 * Workers with a free slot, by target and by what makes them alike, so that a choice looks at
 * kinds.
 */
export interface WorkerIndex {
  /** Target to bucket to worker ids. */
  readonly free: Map<string, Map<string, Set<string>>>;
  /** Where each indexed worker stands. */
  readonly positions: Map<string, { readonly targets: readonly string[]; readonly bucket: string }>;
  /** Slots over all workers that may be used, and those in use. */
  slots: number;
  used: number;
  readonly slotCounts: Map<string, { readonly slots: number; readonly used: number }>;
}

/** A request that waits for a slot. */
export interface WaitingEntity {
  /** The newest question for it. */
  ask: AskRequest;
  readonly rank: number;
  readonly askedAt: number;
  /** When the whole answer is late, monotonic milliseconds. */
  readonly deadlineAt: number;
  /** When its first token is late, monotonic milliseconds. */
  readonly firstTokenDeadlineAt: number;
  /** Prompt tokens plus the output expected. */
  readonly cost: number;
  readonly outputTokens: number;
}

/** A request that holds a slot. */
export interface RunningEntity {
  readonly requestId: string;
  readonly entryId: string;
  readonly workerId: string;
  readonly rank: number;
  readonly account: string;
  readonly target: string;
  readonly tier: string;
  readonly promptTokens: number;
  readonly cost: number;
  /** Number of the question that was granted; 0 where an entry told of it later. */
  readonly askNumber: number;
  readonly grantedAt: number;
  /** Requests on the worker when this one was granted, itself included. */
  readonly batch: number;
  readonly expectedFirstTokenMs: number;
  started: boolean;
  /** Set when the owner has already counted this request as late. */
  late: boolean;
}

/** How requests are matched with workers. */
export type PolicyName = 'owner' | 'roundRobin' | 'leastOutstanding';

/** Parts of the policy that can be switched off to measure what they bring. */
export interface PolicySettings {
  readonly name: PolicyName;
  readonly affinity: boolean;
  readonly headroom: boolean;
  readonly stragglers: boolean;
  readonly speeds: boolean;
}

/** What the owner takes from the manifest. */
export interface ScheduleConfig {
  readonly tiers: Readonly<Record<string, Tier>>;
  readonly accounts: Readonly<Record<string, ClientAccount>>;
  readonly models: Readonly<Record<string, Model>>;
  readonly pools: Readonly<Record<string, Pool>>;
  readonly limits: Limits;
}

/** How much of a pool one account uses. */
export interface AccountUsage {
  /** Requests waiting and running. */
  requests: number;
  /** Tokens served, divided by the account's weight: the fair queue serves the least first. */
  virtualTokens: number;
  /** Tokens that may still be used in this minute. */
  tokensLeft: number;
  refilledAt: number;
}

/** How fast a rank is served. */
export interface GrantRate {
  perSecond: number;
  /** When it was last brought up to date, monotonic milliseconds. */
  updatedAt: number;
}

/** All that the owner of one pool knows. */
export interface ScheduleTables {
  readonly pool: string;
  readonly policy: PolicySettings;
  config: ScheduleConfig;
  readonly workers: Map<string, WorkerEntity>;
  readonly index: WorkerIndex;
  readonly waiting: Map<string, WaitingEntity>;
  /** Waiting request ids by rank and account, oldest first. */
  readonly queues: Map<number, Map<string, string[]>>;
  readonly running: Map<string, RunningEntity>;
  readonly runningByRank: Map<number, number>;
  readonly accounts: Map<string, AccountUsage>;
  readonly speeds: SpeedTable;
  readonly lengths: LengthModel;
  /** Sum of the logarithms of all workers' slowness, for their geometric mean. */
  slownessLogSum: number;
  /** Most requests of a rank that ran at once of late; decays. */
  readonly peakConcurrency: Map<number, number>;
  /** Prefix to the workers it was dispatched to. */
  readonly prefixWorkers: Map<string, Set<string>>;
  /** Entries that must still tell what they run before this owner may shed. */
  readonly unregisteredEntries: Set<string>;
  /** Until then an earlier owner's grants may still start. */
  settledAt: number;
  /** Grants a second of each rank, decaying. */
  readonly grantRates: Map<number, GrantRate>;
  /** Smoothed time that a request holds a slot, in milliseconds. */
  meanServiceMs: number;
  readonly orders: OrderState;
  /** Request to the workers that it did not reach; the oldest are forgotten. */
  readonly failedWorkersByRequest: Map<string, readonly string[]>;
  /** Turn counter of the round-robin baseline. */
  roundRobinCounter: number;
  /** Workers looked at while choosing, for the bench. */
  comparisons: number;
}

/** What happens to a pool. */
export type ScheduleEvent = | { readonly kind: 'ask'; readonly ask: AskRequest }
  | { readonly kind: 'report'; readonly report: ReportRequest }
  | { readonly kind: 'register'; readonly register: RegisterRequest }
  | { readonly kind: 'announce'; readonly announcement: Announcement }
  | { readonly kind: 'configure'; readonly config: ScheduleConfig }
  | { readonly kind: 'membersChanged'; readonly entryIds: readonly string[] }
  | { readonly kind: 'orderAnswered'; readonly result: OrderResult }
  | { readonly kind: 'tick' };

/** What the owner decides. */
export type ScheduleEffect = | {
  readonly kind: 'grant';
  readonly requestId: string;
  readonly workerId: string;
  readonly workerAddress: string;
  readonly workerIncarnation: string;
  readonly canResume: boolean;
}
  | {
    readonly kind: 'refuse';
    readonly requestId: string;
    readonly code: ResultCode;
    readonly message: string;
    readonly retryAfterMs: number;
  }
  | {
    readonly kind: 'order';
    readonly workerId: string;
    readonly workerAddress: string;
    readonly desired: DesiredState;
  };

/** One step of the owner. */
export interface ScheduleStep {
  readonly tables: ScheduleTables;
  readonly now: number;
  readonly effects: ScheduleEffect[];
}
