import type {
  Announcement, AskRequest, ReportRequest, RegisterRequest,
} from '../../protocol/generated/beechlift';
import type { ResultCode } from '../../errors/resultCodes';
import type {
  ClientAccount, Limits, Model, Pool, Tier,
} from '../../manifest/manifest';
import type { LengthModel } from './lengthModel';
import type { SpeedTable } from './speedModel';

/** Load of a worker: `steady` for full load, `eased` for only a probe because it is slow. */
export type LoadLevel = 'steady' | 'eased';

/**
 * Reachability of a worker: `reached` workers receive requests up to their slots, `suspended`
 * workers none during a pause, `probed` workers one request as a probe.
 */
export type WorkerReach = 'reached' | 'suspended' | 'probed';

/** Phase of an order to a worker. Only `serving` workers receive requests. */
export type OrderPhase = 'serving' | 'draining' | 'loading';

/** A model that a worker should load. */
export interface DesiredModel {
  readonly name: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
}

/** Complete state that a worker of a pool should load. Every order contains all of it. */
export interface DesiredState {
  readonly role: Pool['role'];
  readonly models: readonly DesiredModel[];
  readonly digest: string;
}

/** Result of an order: accepted, rejected for a higher fencing number, or failed. */
export type OrderResult = 'taken' | 'outbid' | 'failed';

/** State of the orders of a pool. */
export interface OrderState {
  desired: DesiredState | undefined;
  /**
   * Earliest time for orders, monotonic milliseconds: until then, orders of an earlier owner may
   * still arrive. Infinity while orders are not allowed.
   */
  allowedAt: number;
  /** When the limit of the weight store allows the next load, monotonic milliseconds. */
  nextLoadAt: number;
}

/** Times of a request that has ended, in monotonic milliseconds. */
export interface EndedRequest {
  readonly grantedAt: number;
  readonly endedAt: number;
}

/** State of a backend server of the pool, as tracked by the pool's owner. */
export interface WorkerEntity {
  readonly id: string;
  incarnation: string;
  address: string;
  zone: string;
  hardware: string;
  /** Names of the models or services that it serves. */
  targets: readonly string[];
  slots: number;
  canResume: boolean;
  leaving: boolean;
  /** When it last announced that it is leaving, monotonic milliseconds. */
  lastLeavingAt: number;
  announcedAt: number;
  /** Running requests of other systems, computed from the reported load. */
  externalRequests: number;
  /** Ids of granted requests that are not yet reported as ended. */
  readonly running: Set<string>;
  /** Recently ended requests, which a delayed load report may still include. */
  ended: EndedRequest[];
  /** Prompt prefixes dispatched to it with the time of the last use, least recently used first. */
  readonly prefixes: Map<string, number>;
  /** Smoothed ratio of observed to expected time; 1 is as expected. */
  slowness: number;
  loadLevel: LoadLevel;
  reach: WorkerReach;
  /** When it last became unreachable for a request, monotonic milliseconds. */
  suspendedAt: number;
  /** Length of the pause from then on, in milliseconds. */
  pauseMs: number;
  /** Whether it accepts orders. */
  acceptsOrders: boolean;
  /** Digest of the state that it reports as loaded. */
  reportedDigest: string;
  /** Digest of the state in the last order to it. */
  orderedDigest: string;
  orderedAt: number;
  orderPhase: OrderPhase;
  /** When `orderPhase` last changed, monotonic milliseconds. */
  orderPhaseAt: number;
}

/**
 * Workers with a free slot, by target and bucket. The workers of a bucket are equivalent for a
 * choice, so a choice compares one worker of each bucket.
 */
export interface WorkerIndex {
  /** Target to bucket to worker ids. */
  readonly free: Map<string, Map<string, Set<string>>>;
  /** Targets and bucket of each indexed worker. */
  readonly positions: Map<string, { readonly targets: readonly string[]; readonly bucket: string }>;
  /** Usable slots of all workers. */
  slots: number;
  /** Used slots of all workers. */
  used: number;
  /** Usable and used slots of each worker. */
  readonly slotCounts: Map<string, { readonly slots: number; readonly used: number }>;
}

/** A request that is waiting for a slot. */
export interface WaitingEntity {
  /** Its newest slot request. */
  ask: AskRequest;
  readonly rank: number;
  readonly askedAt: number;
  /** Deadline for the whole answer, monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Deadline for the first token, monotonic milliseconds. */
  readonly firstTokenDeadlineAt: number;
  /** Prompt tokens plus expected output tokens. */
  readonly cost: number;
  /** Expected output tokens. */
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
  /** Number of the granted slot request; 0 for requests that an entry registered later. */
  readonly askNumber: number;
  readonly grantedAt: number;
  /** Requests on the worker when this one was granted, including itself. */
  readonly batch: number;
  readonly expectedFirstTokenMs: number;
  started: boolean;
  /** Whether the owner has already counted this request as late. */
  late: boolean;
}

/** Name of the policy that assigns requests to workers. */
export type PolicyName = 'owner' | 'roundRobin' | 'leastOutstanding';

/** Mechanisms of the policy; each can be disabled to measure its effect. */
export interface PolicySettings {
  readonly name: PolicyName;
  /** Whether workers that have a prefix of the prompt in their cache are preferred. */
  readonly affinity: boolean;
  /** Whether lower tiers leave slots free for higher ones. */
  readonly headroom: boolean;
  /** Whether slow workers are detected and receive fewer requests. */
  readonly stragglers: boolean;
  /** Whether the estimates of request times differ by hardware type. */
  readonly speeds: boolean;
}

/** Sections of the manifest that the owner uses. */
export interface ScheduleConfig {
  readonly tiers: Readonly<Record<string, Tier>>;
  readonly accounts: Readonly<Record<string, ClientAccount>>;
  readonly models: Readonly<Record<string, Model>>;
  readonly pools: Readonly<Record<string, Pool>>;
  readonly limits: Limits;
}

/** Usage of a pool by one account. */
export interface AccountUsage {
  /** Number of waiting and running requests. */
  requests: number;
  /** Served tokens divided by the account's weight; the fair queue serves the lowest first. */
  virtualTokens: number;
  /** Tokens left of the limit per minute; refilled continuously. */
  tokensLeft: number;
  refilledAt: number;
}

/** Recent grant rate of a rank. */
export interface GrantRate {
  perSecond: number;
  /** When the rate was last updated, monotonic milliseconds. */
  updatedAt: number;
}

/** Complete state of the owner of one pool. */
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
  /** Sum of the logarithms of the slowness of all workers, for the geometric mean. */
  slownessLogSum: number;
  /** Recent maximum of concurrently running requests of each rank; decays over time. */
  readonly peakConcurrency: Map<number, number>;
  /** Ids of the workers that each prefix was dispatched to. */
  readonly prefixWorkers: Map<string, Set<string>>;
  /** Entries that must still register their running requests before this owner may shed load. */
  readonly unregisteredEntries: Set<string>;
  /** Until this time, requests granted by an earlier owner may still start. */
  settledAt: number;
  /** Grants per second of each rank, decaying over time. */
  readonly grantRates: Map<number, GrantRate>;
  /** Smoothed time for which a request holds a slot, in milliseconds. */
  meanServiceMs: number;
  readonly orders: OrderState;
  /** Workers that could not be reached by each request. The oldest requests are evicted. */
  readonly failedWorkersByRequest: Map<string, readonly string[]>;
  /** Counter of the round-robin baseline policy. */
  roundRobinCounter: number;
  /** Number of workers scored by choices, for the benchmarks. */
  comparisons: number;
}

/** Events that the owner of a pool handles. */
export type ScheduleEvent = | { readonly kind: 'ask'; readonly ask: AskRequest }
  | { readonly kind: 'report'; readonly report: ReportRequest }
  | { readonly kind: 'register'; readonly register: RegisterRequest }
  | { readonly kind: 'announce'; readonly announcement: Announcement }
  | { readonly kind: 'configure'; readonly config: ScheduleConfig }
  | { readonly kind: 'membersChanged'; readonly entryIds: readonly string[] }
  | { readonly kind: 'orderAnswered'; readonly result: OrderResult }
  | { readonly kind: 'tick' };

/** Decisions of the owner that the caller must carry out. */
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

/** One step of the owner: its state, the current time, and the effects so far. */
export interface ScheduleStep {
  readonly tables: ScheduleTables;
  readonly now: number;
  readonly effects: ScheduleEffect[];
}
