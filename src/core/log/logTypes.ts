import type { LogEntry, LogMessage, Replica } from '../../protocol/generated/beechlift';
import type { ResendTimer } from './resendTimer';

/** Role of a replica in its term. */
export type LogRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Kinds of messages between replicas. */
export type LogMessageKind = | 'preVote' | 'preVoteReply'
  | 'vote' | 'voteReply'
  | 'append' | 'appendReply'
  | 'snapshot' | 'snapshotReply';

/** The replicas of the log. Learners receive the log and do not vote. */
export interface ReplicaSet {
  readonly voters: readonly Replica[];
  /**
   * Voters before a change that is not complete: until then a majority of them is needed beside a
   * majority of `voters`. Absent or empty when no change is in progress.
   */
  readonly previousVoters?: readonly Replica[];
  readonly learners: readonly Replica[];
  /** Voters to be removed as a learner takes their place. */
  readonly leaving: readonly string[];
}

/** State of the log up to `index`. Replaces the entries that it was created from. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly replicas: ReplicaSet;
  /** The serialized state machine, opaque to the log. */
  readonly data: string;
}

/** State that must be on disk before a vote or an acknowledgement is sent. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string;
}

/** Everything that a replica stores on its disk. */
export interface StoredLog {
  readonly hardState: HardState;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
}

/** Replication progress of another replica, as tracked by the leader. */
export interface PeerProgress {
  nextIndex: number;
  matchIndex: number;
  /**
   * First and last index of the entries that were sent in a row. Those above `matchIndex` are open:
   * they may still arrive.
   */
  sentFrom: number;
  sentIndex: number;
  /** When open entries, or the open chunk of a snapshot, may be sent again. */
  readonly resend: ResendTimer;
  /** Newest round that the peer acknowledged. */
  ackedRound: number;
  /** Bytes of the snapshot that the peer has received; -1 when no transfer is in progress. */
  snapshotOffset: number;
  /** Bytes of entries and snapshots that were sent to the peer, repeats included. */
  bytesSent: number;
}

/** Durations of the log in milliseconds. */
export interface LogTimings {
  readonly heartbeatMs: number;
  /** Shortest time without contact with a leader after which a follower starts a pre-vote. */
  readonly electionTimeoutMs: number;
  /** The same after messages of the leader that came late, at most. */
  readonly maxPatienceMs: number;
  /**
   * Shortest time between two pre-votes of a replica that has no contact with a leader. A pre-vote
   * binds no replica and writes nothing to disk, so it may be frequent.
   */
  readonly preVoteIntervalMs: number;
  /** Subtracted from the leader lease to allow for clocks that run at different rates. */
  readonly leaseMarginMs: number;
}

/** State of one replica of the log. Only the functions of this folder change it. */
export interface LogState {
  readonly id: string;
  readonly timings: LogTimings;
  /** Returns a random number from 0 to 1; tests use a seeded generator. */
  readonly drawRandom: () => number;
  role: LogRole;
  term: number;
  votedFor: string;
  /** Id of the leader; empty while none is known. */
  leaderId: string;
  snapshot: Snapshot;
  entries: LogEntry[];
  replicas: ReplicaSet;
  commitIndex: number;
  appliedIndex: number;
  /** Last index that is synced to this replica's disk. */
  syncedIndex: number;
  /** When the next election or pre-vote is due, monotonic milliseconds. */
  electionAt: number;
  /** When the last message of a leader was received, monotonic milliseconds. */
  lastLeaderContactAt: number;
  /** Longest recent gap between messages of the leader, in ms; falls with each message. */
  leaderGapMs: number;
  /** When the leader sends its next round, monotonic milliseconds. */
  nextHeartbeatAt: number;
  /** Replicas that granted the current pre-vote or vote, this one included. */
  votes: Set<string>;
  peers: Map<string, PeerProgress>;
  /** Number of the last round of appends that this replica sent as leader. */
  round: number;
  /** Send time of each recent round, monotonic milliseconds. */
  roundSentAt: Map<number, number>;
  /** Monotonic time until which no other leader can exist. */
  leaseUntil: number;
  /** Received chunks of a snapshot whose transfer is in progress. */
  incomingSnapshot: { index: number; term: number; chunks: Buffer[]; bytes: number } | undefined;
}

/** Events that a replica handles. */
export type LogEvent = | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: LogMessage }
  | { readonly kind: 'propose'; readonly command: string }
  /** The monotonic clock stopped for an unknown time, as when a VM is suspended. */
  | { readonly kind: 'suspended' }
  /** Requests a round that confirms the leadership without relying on a clock. */
  | { readonly kind: 'confirm' }
  | { readonly kind: 'changeReplicas'; readonly replicas: ReplicaSet }
  | { readonly kind: 'synced'; readonly index: number; readonly term: number }
  | { readonly kind: 'snapshotTaken'; readonly index: number; readonly data: string };

/**
 * Effects that the caller must carry out in order: a `send` after a `persist` is sent only once the
 * `persist` is synced.
 */
export type LogEffect = | { readonly kind: 'persist'; readonly hardState: HardState; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'persistSnapshot'; readonly snapshot: Snapshot; readonly hardState: HardState; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'send'; readonly message: LogMessage }
  | { readonly kind: 'apply'; readonly entry: LogEntry }
  | { readonly kind: 'restore'; readonly snapshot: Snapshot }
  | { readonly kind: 'roleChanged'; readonly role: LogRole; readonly term: number }
  | { readonly kind: 'proposed'; readonly index: number; readonly term: number };

/** One step of a replica: its state, the current time, and the effects so far. */
export interface LogStep {
  readonly state: LogState;
  readonly now: number;
  readonly effects: LogEffect[];
}
