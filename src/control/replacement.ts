import type { Replica } from '../protocol/generated/beechlift';
import type { LogState, ReplicaSet } from '../core/log/logTypes';
import type { AgreedHolders, SiteCommand } from '../core/membership/siteState';

/**
 * Steps that replace a control replica: the new replica learns the log, then votes, then the old
 * replica is removed. After that the claim holders change, first to both sets together, then to the
 * new set alone. Every step is a command of the log, so a new leader continues where the old one
 * stopped.
 */

/**
 * First step: adds the new replica as a learner, and marks the old one as leaving.
 *
 * @example
 * const next = startReplacement(replicas, 'c2', { id: 'c4', address, zone });
 */
export const startReplacement = (
  replicas: ReplicaSet,
  removeId: string,
  newcomer: Replica | undefined,
): ReplicaSet | undefined => {
  const isVoter = replicas.voters.some(({ id }) => id === removeId);
  const isChanging = replicas.learners.length > 0 || replicas.leaving.length > 0;
  const isTaken = replicas.voters.some(({ id }) => id === newcomer?.id);
  if (!isVoter || isChanging || !newcomer || isTaken) return undefined;
  return { voters: replicas.voters, learners: [newcomer], leaving: [removeId] };
};

const MAX_LAG_ENTRIES = 4;

/*
 * A learner votes only once it has all but the last entries. A voter that lacks the log does not
 * help to form a majority: if a second VM were lost right after the repair, nothing could be
 * committed.
 */
const hasCaughtUp = (state: LogState, id: string): boolean => {
  const matchIndex = state.peers.get(id)?.matchIndex ?? 0;
  return matchIndex > 0 && state.commitIndex - matchIndex <= MAX_LAG_ENTRIES;
};

/** Plans the next step of the replica set; undefined if none is due. */
export const planReplicaChange = (state: LogState): ReplicaSet | undefined => {
  const { voters, learners, leaving } = state.replicas;
  const [learner] = learners;
  if (learner) {
    if (!hasCaughtUp(state, learner.id)) return undefined;
    return { voters: [...voters, learner], learners: [], leaving };
  }
  if (leaving.length === 0) return undefined;
  return { voters: voters.filter(({ id }) => !leaving.includes(id)), learners: [], leaving: [] };
};

const formatIds = (replicas: readonly Replica[]): string => (
  replicas.map(({ id }) => id).sort().join(' ')
);

const isSettled = (state: LogState): boolean => (
  state.replicas.learners.length === 0 && state.replicas.leaving.length === 0
);

/**
 * Plans the next step of the claim holders; undefined if none is due.
 *
 * @param copiedSet newest holder set whose new holder has copied its claims
 * @example
 * const command = planHolderChange(site.holders, state, copiedSet);
 */
export const planHolderChange = (
  holders: AgreedHolders,
  state: LogState,
  copiedSet: number,
): SiteCommand | undefined => {
  if (holders.number === 0) {
    return { kind: 'holders', current: state.replicas.voters, previous: [] };
  }
  if (holders.previous.length > 0) {
    if (copiedSet < holders.number) return undefined;
    return { kind: 'holders', current: holders.current, previous: [] };
  }
  const hasMoved = formatIds(holders.current) !== formatIds(state.replicas.voters);
  if (!hasMoved || !isSettled(state)) return undefined;
  return { kind: 'holders', current: state.replicas.voters, previous: holders.current };
};
