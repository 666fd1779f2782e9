import { LogMessage } from '../../protocol/generated/beechlift';
import type { LogEntry, Replica } from '../../protocol/generated/beechlift';
import { computePatienceMs, recordLeaderGap } from './leaderPatience';
import type {
  HardState, LogEffect, LogMessageKind, LogState, LogStep, LogTimings, ReplicaSet, StoredLog,
} from './logTypes';

/** Prefix of log commands that change the replica set instead of the state machine. */
export const REPLICAS_COMMAND_PREFIX = 'replicas:';

/**
 * Timings for sites whose availability zones are a few milliseconds apart. A follower starts a
 * pre-vote after four to seven missed heartbeats. That is longer than a retransmission on a lossy
 * link (about 200 ms). It is short enough for callers, because a site whose processes were all
 * killed needs one more election timeout until it serves again.
 */
export const DEFAULT_LOG_TIMINGS: LogTimings = {
  heartbeatMs: 75,
  electionTimeoutMs: 300,
  maxPatienceMs: 1_200,
  preVoteIntervalMs: 75,
  leaseMarginMs: 45,
};

/**
 * Creates the empty log of a new site, with the replicas from the settings.
 *
 * @example
 * const stored = makeEmptyLog({ voters: [a, b, c], learners: [], leaving: [] });
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
 * Finds the replica set in force: the newest one in the log, whether committed or not.
 *
 * @example
 * state.replicas = findReplicaSet(state);
 */
export const findReplicaSet = (state: Pick<LogState, 'entries' | 'snapshot'>): ReplicaSet => {
  const entry = state.entries.findLast(
    ({ command }) => command.startsWith(REPLICAS_COMMAND_PREFIX),
  );
  return (entry && parseReplicaSet(entry)) ?? state.snapshot.replicas;
};

/**
 * Random part of the election timeout, as a fraction of it. The resulting differences between
 * replicas are many round trips long, so one replica is usually elected before the next one starts
 * an election.
 */
const ELECTION_JITTER = 0.6;

const drawDeadline = (state: LogState, now: number, ms: number): number => (
  now + ms * (1 + ELECTION_JITTER * state.drawRandom())
);

/** Start time of a replica, in monotonic milliseconds. */
export interface ReplicaStart {
  /** Start of the process. The process cannot have acknowledged anything before this time. */
  readonly startedAt: number;
}

/**
 * Creates the state of a replica from its stored log.
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
     * Protects the lease of a leader that this replica acknowledged before a restart: the process
     * start counts as a leader contact, so the replica takes part in no election until that lease
     * has ended. A process whose start took longer than a lease does not wait, which is the usual
     * case after all processes of a site were killed.
     */
    lastLeaderContactAt: startedAt,
    leaderGapMs: 0,
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

/** Returns the index of the last entry, or of the snapshot when no entry follows it. */
export const readLastIndex = ({ snapshot, entries }: LogState): number => (
  snapshot.index + entries.length
);

/** Returns the entry at an index; undefined when it is compacted or beyond the end. */
export const findEntry = (state: LogState, index: number): LogEntry | undefined => (
  state.entries[index - state.snapshot.index - 1]
);

/** Returns the term at an index; undefined when it is compacted or beyond the end. */
export const findTerm = (state: LogState, index: number): number | undefined => (
  index === state.snapshot.index ? state.snapshot.term : findEntry(state, index)?.term
);

/** Returns the term of the last entry, or 0 for an empty log. */
export const readLastTerm = (state: LogState): number => findTerm(state, readLastIndex(state)) ?? 0;

/** Whether a change of the voters is not complete, so that two majorities are needed. */
export const isChanging = ({ previousVoters = [] }: ReplicaSet): boolean => (
  previousVoters.length > 0
);

/** Lists the sets of voters of which a majority each is needed: two during a change. */
const listVoterSets = (replicas: ReplicaSet): (readonly Replica[])[] => (
  isChanging(replicas) ? [replicas.voters, replicas.previousVoters ?? []] : [replicas.voters]
);

/**
 * Lists the replicas that vote, once each: also those that a change in progress takes out.
 *
 * @example
 * const ids = listVoters(state.replicas).map(({ id }) => id);
 */
export const listVoters = (replicas: ReplicaSet): Replica[] => (
  [...new Map(listVoterSets(replicas).flat().map((replica) => [replica.id, replica])).values()]
);

/**
 * Lists all replicas, once each: voters, those that a change in progress takes out, and learners.
 *
 * @example
 * const addresses = listReplicas(state.replicas).map(({ address }) => address);
 */
export const listReplicas = (replicas: ReplicaSet): Replica[] => (
  [...new Map(
    [...listVoters(replicas), ...replicas.learners].map((replica) => [replica.id, replica]),
  ).values()]
);

/** Whether a replica is a voter. */
export const isVoter = (state: LogState, id: string): boolean => (
  listVoterSets(state.replicas).some((voters) => voters.some((replica) => replica.id === id))
);

/**
 * Whether the given replicas contain a majority of the voters, and of the voters before a change
 * that is in progress. Other replicas are ignored.
 */
export const hasMajority = (state: LogState, ids: Iterable<string>): boolean => {
  const given = new Set(ids);
  return listVoterSets(state.replicas).every((voters) => (
    voters.filter(({ id }) => given.has(id)).length > voters.length / 2));
};

/** Lists the ids of all other replicas, including learners. */
export const listPeers = (state: LogState): string[] => (
  listReplicas(state.replicas).map(({ id }) => id).filter((id) => id !== state.id)
);

/** Whether the newest change of the replica set is committed. */
export const isReplicaSetCommitted = ({ entries, commitIndex }: LogState): boolean => !entries.some(
  ({ index, command }) => index > commitIndex && command.startsWith(REPLICAS_COMMAND_PREFIX),
);

/** Whether the log holds commands of the state machine, committed or not. */
export const hasSiteCommands = ({ snapshot, entries }: LogState): boolean => (
  snapshot.data !== '' || entries.some(({ command }) => (
    command !== '' && !command.startsWith(REPLICAS_COMMAND_PREFIX)))
);

/** Returns the part of the state that must be on disk before a vote or acknowledgement is sent. */
export const readHardState = ({ term, votedFor }: LogState): HardState => ({ term, votedFor });

/** Adds an effect to the step. */
export const addEffect = (step: LogStep, effect: LogEffect): void => {
  step.effects.push(effect);
};

/** Adds a message to the step and fills in the fields that every message has. */
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

/** Persists term, vote and changed entries before any later message of the step is sent. */
export const persistState = (step: LogStep, entries: readonly LogEntry[] = []): void => {
  addEffect(step, { kind: 'persist', hardState: readHardState(step.state), entries });
};

/** Restarts the timer for the next election. */
export const resetElectionTimer = ({ state, now }: LogStep): void => {
  state.electionAt = drawDeadline(state, now, state.timings.electionTimeoutMs);
};

/** Restarts the timer for the next pre-vote, which is used while no leader is known. */
export const resetPreVoteTimer = ({ state, now }: LogStep): void => {
  state.electionAt = drawDeadline(state, now, state.timings.preVoteIntervalMs);
};

/** Becomes a follower, in a newer term or under a known leader. */
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

/** Follows the leader that sent a message in the current or a newer term. */
export const followLeader = (step: LogStep, message: LogMessage): void => {
  const { state, now } = step;
  recordLeaderGap(state, message.from, now);
  if (message.term > state.term || state.role !== 'follower') {
    becomeFollower(step, message.term, message.from);
  }
  state.leaderId = message.from;
  state.lastLeaderContactAt = now;
  state.electionAt = drawDeadline(state, now, computePatienceMs(state));
};
