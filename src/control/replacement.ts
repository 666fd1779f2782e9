import { isReadyToVote } from '../core/log/learnerReadiness';
import { isChanging } from '../core/log/logState';
import type { Replica } from '../protocol/generated/beechlift';
import type { LogState, ReplicaSet } from '../core/log/logTypes';
import type { AgreedHolders, SiteCommand } from '../core/membership/siteState';

/**
 * Steps that replace a control replica: the new replica learns the log, then takes the place of
 * the old one in a single change. After that the claim holders change, first to both sets together,
 * then to the new set alone. Every step is a command of the log, so a new leader continues where
 * the old one stopped.
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
  const isReplacing = replicas.learners.length > 0 || replicas.leaving.length > 0;
  const isTaken = replicas.voters.some(({ id }) => id === newcomer?.id);
  if (!isVoter || isReplacing || !newcomer || isTaken) return undefined;
  return { voters: replicas.voters, learners: [newcomer], leaving: [removeId] };
};

/**
 * Plans the next step of the replica set; undefined if none is due. The new replica votes once it
 * has the log and answers: a voter that lacks the log does not help to form a majority.
 *
 * @param now monotonic milliseconds
 * @example
 * const next = planReplicaChange(state, clock.now());
 */
export const planReplicaChange = (state: LogState, now: number): ReplicaSet | undefined => {
  const { voters, learners, leaving } = state.replicas;
  const remaining = voters.filter(({ id }) => !leaving.includes(id));
  const [learner] = learners;
  if (learner) {
    if (!isReadyToVote(state, learner.id, now)) return undefined;
    return {
      voters: [...remaining, learner], previousVoters: voters, learners: [], leaving,
    };
  }
  // Without previous voters, an earlier release began the change.
  const isIncomplete = isChanging(state.replicas) || leaving.length > 0;
  return isIncomplete ? { voters: remaining, learners: [], leaving: [] } : undefined;
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
