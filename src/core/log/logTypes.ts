import type { LogEntry, LogMessage, Replica } from '../../protocol/generated/beechlift';

/** What a replica is doing. */
export type LogRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Kinds of message between replicas. */
export type LogMessageKind = | 'preVote' | 'preVoteReply'
  | 'vote' | 'voteReply'
  | 'append' | 'appendReply'
  | 'snapshot' | 'snapshotReply';

/** Who replicates the log. Learners receive it and do not vote. */
export interface ReplicaSet {
  readonly voters: readonly Replica[];
  readonly learners: readonly Replica[];
  /** Voters that go once every learner votes. */
  readonly leaving: readonly string[];
}

/** State of the log up to `index`, in place of the entries it was made from. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly replicas: ReplicaSet;
  /** The state machine as text; the log does not look inside. */
  readonly data: string;
}

/** What must be on disk before a vote or an acknowledgement leaves. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string;
}

/** Everything a replica finds on its disk. */
export interface StoredLog {
  readonly hardState: HardState;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
}

/** What a leader knows of another replica. */
export interface PeerProgress {
  nextIndex: number;
  matchIndex: number;
  /** Last round that the peer acknowledged. */
  ackedRound: number;
  /** Bytes of the snapshot that the peer holds; -1 when none is on its way. */
  snapshotOffset: number;
}

/** Durations of the log in milliseconds. */
export interface LogTimings {
  readonly heartbeatMs: number;
  /** Shortest silence after which a follower stands for election. */
  readonly electionTimeoutMs: number;
  /**
   * Shortest time after which a replica that hears no leader asks again whether it could be
   * elected. The question promises nothing and writes nothing, so it may be put often.
   */
  readonly preVoteIntervalMs: number;
  /** Held back from the lease of a leader against clocks that run at unlike rates. */
  readonly leaseMarginMs: number;
}

/** One replica's part of the log. Only the functions of this folder change it. */
export interface LogState {
  readonly id: string;
  readonly timings: LogTimings;
  /** Numbers from 0 to 1, from a seeded source in tests. */
  readonly drawRandom: () => number;
  role: LogRole;
  term: number;
  votedFor: string;
  leaderId: string;
  snapshot: Snapshot;
  entries: LogEntry[];
  replicas: ReplicaSet;
  commitIndex: number;
  appliedIndex: number;
  /** Last index that is synced on this replica's disk. */
  syncedIndex: number;
  electionAt: number;
  lastLeaderContactAt: number;
  nextHeartbeatAt: number;
  votes: Set<string>;
  peers: Map<string, PeerProgress>;
  round: number;
  /** When each round that is not yet acknowledged by a majority was sent. */
  roundSentAt: Map<number, number>;
  /** Monotonic time until which no other leader can exist. */
  leaseUntil: number;
  /** Pieces of a snapshot that is being received. */
  incomingSnapshot: { index: number; term: number; chunks: Buffer[]; bytes: number } | undefined;
}

/** What happens to a replica. */
export type LogEvent = | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: LogMessage }
  | { readonly kind: 'propose'; readonly command: string }
  /** The clock stood still for a while that nobody can tell, as when a VM is suspended. */
  | { readonly kind: 'suspended' }
  /** A round is to be sent that proves leadership without any clock. */
  | { readonly kind: 'confirm' }
  | { readonly kind: 'changeReplicas'; readonly replicas: ReplicaSet }
  | { readonly kind: 'synced'; readonly index: number; readonly term: number }
  | { readonly kind: 'snapshotTaken'; readonly index: number; readonly data: string };

/**
 * What a replica wants done. Effects are carried out in order: a `send` that stands behind a
 * `persist` leaves only after that is synced.
 */
export type LogEffect = | { readonly kind: 'persist'; readonly hardState: HardState; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'persistSnapshot'; readonly snapshot: Snapshot; readonly hardState: HardState; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'send'; readonly message: LogMessage }
  | { readonly kind: 'apply'; readonly entry: LogEntry }
  | { readonly kind: 'restore'; readonly snapshot: Snapshot }
  | { readonly kind: 'roleChanged'; readonly role: LogRole; readonly term: number }
  | { readonly kind: 'proposed'; readonly index: number; readonly term: number };

/** One step of a replica: its state, the time, and the effects so far. */
export interface LogStep {
  readonly state: LogState;
  readonly now: number;
  readonly effects: LogEffect[];
}
