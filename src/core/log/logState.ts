import { LogMessage } from '../../protocol/generated/beechlift';
import type { LogEntry } from '../../protocol/generated/beechlift';
import type {
  HardState, LogEffect, LogMessageKind, LogState, LogStep, LogTimings, ReplicaSet, StoredLog,
} from './logTypes';

/** Prefix of a log command that changes the replica set rather than the state machine. */
export const REPLICAS_COMMAND_PREFIX = 'replicas:';

/**
 * Timings for sites whose availability zones are a few milliseconds apart. A follower stands for
 * election after four to eight lost rounds: long against a retransmission on a lossy link (some
 * 200 ms), short against what callers notice of a site whose processes were all killed, which takes
 * one such silence longer to serve again.
 */
export const DEFAULT_LOG_TIMINGS: LogTimings = {
  heartbeatMs: 75,
  electionTimeoutMs: 300,
  preVoteIntervalMs: 75,
  leaseMarginMs: 45,
};

/**
 * Makes the log that a new site starts with: empty, with the replicas of the settings.
 *
 * @example
 * const stored = makeEmptyLog({ voters: [a, b, c], learners: [] });
 */
export const makeEmptyLog = (replicas: ReplicaSet): StoredLog => ({
  hardState: { term: 0, votedFor: '' },
  snapshot: {
    index: 0, term: 0, replicas, data: '',
  },
  entries: [],
});

const parseReplicaSet = (entry: LogEntry): ReplicaSet | undefined => (
  entry.command.startsWith(REPLICAS_COMMAND_PREFIX)
    ? JSON.parse(entry.command.slice(REPLICAS_COMMAND_PREFIX.length)) as ReplicaSet
    : undefined
);

/**
 * Finds the replica set in force: the newest one in the log, committed or not.
 *
 * @example
 * state.replicas = findReplicas(state);
 */
export const findReplicaSet = (state: Pick<LogState, 'entries' | 'snapshot'>): ReplicaSet => {
  const entry = state.entries.findLast(({ command }) => command.startsWith(REPLICAS_COMMAND_PREFIX));
  return (entry && parseReplicaSet(entry)) ?? state.snapshot.replicas;
};

/**
 * Spread of the times at which replicas stand for election, as a part of the election time: many
 * times a round trip, so that one is usually elected before the next stands.
 */
const ELECTION_JITTER = 0.6;

const drawDeadline = (state: LogState, now: number, ms: number): number => (
  now + ms * (1 + ELECTION_JITTER * state.drawRandom())
);

/** When a replica began, in monotonic milliseconds. */
export interface ReplicaStart {
  /** Start of its process: nothing that this process acknowledged is older. */
  readonly startedAt: number;
}

/**
 * Makes the state of a replica from what its disk holds.
 *
 * @example
 * const state = makeLogState('c1', stored, Math.random, clock.now(), { startedAt: 0 });
 */
export const makeLogState = (
  id: string,
  stored: StoredLog,
  drawRandom: () => number,
  now: number,
  { startedAt }: ReplicaStart = { startedAt: now },
  timings: LogTimings = DEFAULT_LOG_TIMINGS,
): LogState => {
  const state: LogState = {
    id,
    timings,
    drawRandom,
    role: 'follower',
    term: stored.hardState.term,
    votedFor: stored.hardState.votedFor,
    leaderId: '',
    snapshot: stored.snapshot,
    entries: [...stored.entries],
    replicas: stored.snapshot.replicas,
    commitIndex: stored.snapshot.index,
    appliedIndex: stored.snapshot.index,
    syncedIndex: stored.snapshot.index + stored.entries.length,
    electionAt: 0,
    /*
     * Guards the lease of a leader that this replica acknowledged before it restarted: it counts
     * the start of its process as a contact, so that it takes part in no election until that lease
     * is over. A process that needed longer to start need not wait any more, which is the rule
     * after all of a site was killed.
     */
    lastLeaderContactAt: startedAt,
    nextHeartbeatAt: 0,
    votes: new Set(),
    peers: new Map(),
    round: 0,
    roundSentAt: new Map(),
    leaseUntil: 0,
    incomingSnapshot: undefined,
  };
  state.replicas = findReplicaSet(state);
  const leaseEndsAt = startedAt + timings.electionTimeoutMs;
  const jitterMs = ELECTION_JITTER * timings.preVoteIntervalMs * drawRandom();
  state.electionAt = Math.max(now, leaseEndsAt) + jitterMs;
  return state;
};

/** Index of the last entry, or of the snapshot when no entry follows it. */
export const readLastIndex = ({ snapshot, entries }: LogState): number => (
  snapshot.index + entries.length
);

/** Entry at an index, when it is neither compacted nor beyond the end. */
export const findEntry = (state: LogState, index: number): LogEntry | undefined => (
  state.entries[index - state.snapshot.index - 1]
);

/** Term of an index; undefined when it is compacted or beyond the end. */
export const findTerm = (state: LogState, index: number): number | undefined => (
  index === state.snapshot.index ? state.snapshot.term : findEntry(state, index)?.term
);

/** Term of the last entry. */
export const readLastTerm = (state: LogState): number => findTerm(state, readLastIndex(state)) ?? 0;

/** Whether a replica votes. */
export const isVoter = (state: LogState, id: string): boolean => (
  state.replicas.voters.some((replica) => replica.id === id)
);

/** Whether the replicas named, with those that are no voters left out, are a majority. */
export const hasMajority = (state: LogState, ids: Iterable<string>): boolean => {
  const voting = [...ids].filter((id) => isVoter(state, id));
  return voting.length > state.replicas.voters.length / 2;
};

/** All other replicas, learners included. */
export const listPeers = (state: LogState): string[] => (
  [...state.replicas.voters, ...state.replicas.learners]
    .map(({ id }) => id)
    .filter((id) => id !== state.id)
);

/** The part of the state that votes and terms rest on. */
export const readHardState = ({ term, votedFor }: LogState): HardState => ({ term, votedFor });

/** Adds an effect to the step. */
export const addEffect = (step: LogStep, effect: LogEffect): void => {
  step.effects.push(effect);
};

/** Adds a message to the step, with the fields that every message carries. */
export const sendMessage = (
  step: LogStep,
  kind: LogMessageKind,
  to: string,
  fields: Partial<LogMessage> = {},
): void => {
  const message = LogMessage.fromPartial({
    term: step.state.term, ...fields, kind, to, from: step.state.id,
  });
  addEffect(step, { kind: 'send', message });
};

/** Writes term and vote, and entries that changed, before anything that follows is sent. */
export const persistState = (step: LogStep, entries: readonly LogEntry[] = []): void => {
  addEffect(step, { kind: 'persist', hardState: readHardState(step.state), entries });
};

/** Starts the wait for the next election anew. */
export const resetElectionTimer = ({ state, now }: LogStep): void => {
  state.electionAt = drawDeadline(state, now, state.timings.electionTimeoutMs);
};

/** Starts the wait until votes are asked for again, where nobody is known to lead. */
export const resetPreVoteTimer = ({ state, now }: LogStep): void => {
  state.electionAt = drawDeadline(state, now, state.timings.preVoteIntervalMs);
};

/** Steps down to follower, in a newer term or under a known leader. */
export const becomeFollower = (step: LogStep, term: number, leaderId: string): void => {
  const { state } = step;
  const changed = state.role !== 'follower';
  if (term > state.term) {
    state.term = term;
    state.votedFor = '';
    persistState(step);
  }
  state.role = 'follower';
  state.leaderId = leaderId;
  state.leaseUntil = 0;
  resetElectionTimer(step);
  if (changed) addEffect(step, { kind: 'roleChanged', role: 'follower', term: state.term });
};

/** Notes that the leader of the current term was heard. */
export const followLeader = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (message.term > state.term || state.role !== 'follower') {
    becomeFollower(step, message.term, message.from);
  }
  state.leaderId = message.from;
  state.lastLeaderContactAt = step.now;
  resetElectionTimer(step);
};
