/** The one document by which operators drive beechlift; manifestSchema.ts checks its form. */

/** A class of callers, by rank: rank 0 is served first. */
export interface Tier {
  readonly rank: number;
  /** Time to the first token after which an answer is late, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time to the whole answer after which it is late, in milliseconds. */
  readonly totalMs: number;
  /** Share of every pool's slots that only this tier and higher ones may use, 0 to 0.9. */
  readonly headroom: number;
}

/** Who may call, and how much. */
export interface ClientAccount {
  /** SHA-256 of each API key, in hex. */
  readonly keyHashes: readonly string[];
  readonly tiers: readonly string[];
  /** Requests at a time, over all entry VMs together. */
  readonly concurrency: number;
  /** Prompt and output tokens a minute, over all entry VMs together; 0 sets no limit. */
  readonly tokensPerMinute: number;
  /** Share against other accounts of the same tier. */
  readonly weight: number;
}

/** A model that pools may carry. */
export interface Model {
  readonly contextTokens: number;
  readonly adapters: readonly string[];
  readonly modelVersion: string;
}

/** A plain service beside the model engines. */
export interface Service {
  readonly timeoutMs: number;
  /** HTTP methods whose calls may be repeated. */
  readonly repeatable: readonly string[];
}

/** Which kind of backend server a pool holds. */
export type PoolKind = 'model' | 'service';

/** Backend servers that stand in for one another. */
export interface Pool {
  readonly kind: PoolKind;
  readonly role: 'worker' | 'standby';
  readonly models: readonly string[];
  readonly services: readonly string[];
  /** SHA-256 of the secret that backend servers announce with; empty: not checked. */
  readonly secretHash: string;
  /** Whether its engines refuse orders under an old fencing number. */
  readonly checksFencing: boolean;
}

/** How much of some traffic this system takes while an older scheduler takes the rest. */
export interface Migration {
  /** Whether `name` of the section is an account or a tier is told by this field. */
  readonly of: 'account' | 'tier';
  /** 0 sends all to the older scheduler, 1 sends none. */
  readonly share: number;
  readonly olderAddresses: readonly string[];
}

/** An operator or a pipeline that may submit. */
export interface Operator {
  readonly keyHash: string;
}

/** Bounds on everything that grows. */
export interface Limits {
  readonly bodyBytes: number;
  /** Answers up to this size are kept for a resend. */
  readonly answerBytes: number;
  readonly queuePerPool: number;
  readonly workersPerPool: number;
  /** Orders to load that the weight store bears, over all pools together. */
  readonly loadsPerMinute: number;
  /** How long a claim is kept after its last change, in milliseconds. */
  readonly claimRetentionMs: number;
  /** How long callers keep a locate answer, in milliseconds. */
  readonly locateMs: number;
}

/** The whole document. */
export interface Manifest {
  readonly version: number;
  /** Digest of the manifest that this one replaces; when given it must match. */
  readonly basedOn?: string;
  readonly operators: Readonly<Record<string, Operator>>;
  readonly tiers: Readonly<Record<string, Tier>>;
  readonly accounts: Readonly<Record<string, ClientAccount>>;
  readonly models: Readonly<Record<string, Model>>;
  readonly services: Readonly<Record<string, Service>>;
  readonly pools: Readonly<Record<string, Pool>>;
  readonly migration: Readonly<Record<string, Migration>>;
  readonly limits: Limits;
}
