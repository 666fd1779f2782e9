/** The manifest: the only document by which operators configure a site. See manifestSchema.ts. */

/** A service class of requests. Rank 0 is served first. */
export interface Tier {
  readonly rank: number;
  /** Target time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Target time to the complete answer, in milliseconds. */
  readonly totalMs: number;
  /** Fraction of the slots of every pool reserved for this tier and higher ones, 0 to 0.9. */
  readonly headroom: number;
}

/** A client account: its keys, tiers and limits. */
export interface ClientAccount {
  /** SHA-256 of each API key, in hex. */
  readonly keyHashes: readonly string[];
  readonly tiers: readonly string[];
  /** Maximum number of concurrent requests, over all entry VMs together. */
  readonly concurrency: number;
  /** Prompt and output tokens per minute, over all entry VMs together; 0 sets no limit. */
  readonly tokensPerMinute: number;
  /** Weight relative to other accounts of the same tier. */
  readonly weight: number;
}

/** A model that pools may serve. */
export interface Model {
  readonly contextTokens: number;
  readonly adapters: readonly string[];
  readonly modelVersion: string;
}

/** A service that is not a model engine. */
export interface Service {
  readonly timeoutMs: number;
  /** HTTP methods whose requests may be repeated. */
  readonly repeatable: readonly string[];
}

/** Kind of the backend servers in a pool. */
export type PoolKind = 'model' | 'service';

/** A pool of interchangeable backend servers. */
export interface Pool {
  readonly kind: PoolKind;
  readonly role: 'worker' | 'standby';
  readonly models: readonly string[];
  readonly services: readonly string[];
  /** SHA-256 of the secret in the announcements of backend servers; empty if not checked. */
  readonly secretHash: string;
  /** Whether its engines refuse orders with an outdated fencing number. */
  readonly checksFencing: boolean;
}

/** Splits the traffic of an account or a tier between this system and an older scheduler. */
export interface Migration {
  /** Whether the name of the item is that of an account or of a tier. */
  readonly of: 'account' | 'tier';
  /** Fraction of the traffic that this system takes: 0 for none, 1 for all. */
  readonly share: number;
  readonly olderAddresses: readonly string[];
}

/** An operator or a pipeline that may submit manifests. */
export interface Operator {
  readonly keyHash: string;
}

/** Limits on sizes, counts, rates and retention times. */
export interface Limits {
  readonly bodyBytes: number;
  /** Maximum size of an answer that is kept for resends. */
  readonly answerBytes: number;
  readonly queuePerPool: number;
  readonly workersPerPool: number;
  /** Model loads per minute that the weight store can sustain, over all pools together. */
  readonly loadsPerMinute: number;
  /** Retention time of a claim after its last change, in milliseconds. */
  readonly claimRetentionMs: number;
  /** How long callers may cache the addresses of entries, in milliseconds. */
  readonly locateMs: number;
}

/** The complete manifest. */
export interface Manifest {
  readonly version: number;
  /** Digest of the manifest that this one replaces; if present, it must match the current one. */
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
