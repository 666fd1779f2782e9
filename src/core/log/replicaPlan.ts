import type { Replica } from '../../protocol/generated/beechlift';
import { isChanging, listReplicas } from './logState';
import type { ReplicaSet } from './logTypes';

/** Input of the leader for planning the next change of the replica set. */
export interface ReplicaPlanInput {
  readonly ownId: string;
  readonly replicas: ReplicaSet;
  /** Replicas outside the set that recently asked to join it. */
  readonly newcomers: readonly Replica[];
  /** Replicas that have acknowledged nothing for longer than the time limit. */
  readonly unresponsive: ReadonlySet<string>;
  /** Replicas that are about to stop and ask to be replaced. */
  readonly leaving: ReadonlySet<string>;
  /** Learners that have nearly all of the log, and have answered recently. */
  readonly caughtUp: ReadonlySet<string>;
  /** Desired number of voters. */
  readonly voterCount: number;
}

/** Maximum number of learners: one that replaces a voter and one standby. */
const MAX_LEARNERS = 2;

/*
 * A replica that lost its disk returns with a new identity at the same address. The earlier
 * identity at that address is then certainly lost, and no timeout is needed.
 */
const isReplaced = (replica: Replica, others: readonly Replica[]): boolean => (
  others.some(({ id, address }) => address === replica.address && id !== replica.id)
);

const listFailedVoters = ({
  replicas, newcomers, unresponsive, ownId,
}: ReplicaPlanInput): Replica[] => {
  const others = [...newcomers, ...replicas.learners, ...replicas.voters];
  return replicas.voters.filter((voter) => voter.id !== ownId
    && (unresponsive.has(voter.id) || isReplaced(voter, others)));
};

const listLeavingVoters = ({ replicas, leaving }: ReplicaPlanInput): Replica[] => (
  replicas.voters.filter(({ id }) => leaving.has(id))
);

const replaceLearners = (replicas: ReplicaSet, learners: readonly Replica[]): ReplicaSet => (
  { ...replicas, learners }
);

const addLearner = ({ replicas, newcomers }: ReplicaPlanInput): ReplicaSet | undefined => {
  const known = new Set(listReplicas(replicas).map(({ id }) => id));
  const newcomer = newcomers.find(({ id }) => !known.has(id));
  if (!newcomer || replicas.learners.length >= MAX_LEARNERS) return undefined;
  return replaceLearners(replicas, [...replicas.learners, newcomer]);
};

const listHealthyLearners = (
  { replicas, newcomers, unresponsive }: ReplicaPlanInput,
): Replica[] => (
  replicas.learners.filter((learner) => (
    !unresponsive.has(learner.id) && !isReplaced(learner, newcomers)))
);

const removeFailedLearners = (input: ReplicaPlanInput): ReplicaSet | undefined => {
  const { replicas } = input;
  const healthy = listHealthyLearners(input);
  return healthy.length === replicas.learners.length
    ? undefined
    : replaceLearners(replicas, healthy);
};

const findReadyLearner = (input: ReplicaPlanInput): Replica | undefined => (
  listHealthyLearners(input)
    .find(({ id }) => input.caughtUp.has(id) && !input.leaving.has(id))
);

/** Makes a learner a voter, in the place of another voter if one is given. */
const promoteLearner = (
  replicas: ReplicaSet,
  learner: Replica,
  replaced?: Replica,
): ReplicaSet => ({
  ...replicas,
  voters: [...replicas.voters.filter((voter) => voter !== replaced), learner],
  learners: replicas.learners.filter((other) => other !== learner),
});

/** Ends a change of the voters, once the set that needs both majorities is committed. */
const finishChange = ({ replicas }: ReplicaPlanInput): ReplicaSet | undefined => (
  isChanging(replicas) ? { ...replicas, previousVoters: [] } : undefined
);

const removeSurplusVoter = (input: ReplicaPlanInput): ReplicaSet | undefined => {
  const { replicas, voterCount } = input;
  const [failed] = listFailedVoters(input);
  if (!failed || replicas.voters.length <= voterCount) return undefined;
  return { ...replicas, voters: replicas.voters.filter((voter) => voter !== failed) };
};

const addVoter = (input: ReplicaPlanInput): ReplicaSet | undefined => {
  const { replicas, voterCount } = input;
  const learner = findReadyLearner(input);
  if (!learner || replicas.voters.length >= voterCount) return undefined;
  return promoteLearner(replicas, learner);
};

/*
 * Guards against a site that the loss of one more replica ends: with the learner beside the failed
 * voter, each of the others would be needed for a majority until the voter is taken out. A swap
 * needs the same replicas before, within and after the change.
 */
const replaceVoter = (input: ReplicaPlanInput): ReplicaSet | undefined => {
  const { replicas } = input;
  const [failed] = listFailedVoters(input);
  const [leaving] = listLeavingVoters(input);
  const replaced = failed ?? leaving;
  const learner = findReadyLearner(input);
  if (!replaced || !learner) return undefined;
  const { voters, learners } = promoteLearner(replicas, learner, replaced);
  return {
    ...replicas,
    voters,
    previousVoters: replicas.voters,
    // A voter that leaves hears of the change as a learner, and may end once it is committed.
    learners: replaced === failed ? learners : [...learners, replaced],
  };
};

/**
 * Plans the next repair step of the replica set; undefined when none is needed. A voter that lost
 * its disk, was replaced by another machine or is about to stop leaves the set as its successor
 * enters it, once that has caught up, so the site never relies on a voter with an empty log.
 *
 * @example
 * const next = planReplicas(input);
 * if (next) runner.changeReplicas(next);
 */
export const planReplicas = (input: ReplicaPlanInput): ReplicaSet | undefined => (
  finishChange(input)
    ?? removeSurplusVoter(input)
    ?? addVoter(input)
    ?? replaceVoter(input)
    ?? removeFailedLearners(input)
    ?? addLearner(input)
);
