import type { Replica } from '../../protocol/generated/beechlift';
import type { ReplicaSet } from './logTypes';

/** What the leader knows when it looks after the replica set. */
export interface ReplicaPlanInput {
  readonly ownId: string;
  readonly replicas: ReplicaSet;
  /** Replicas outside of the set that asked to take part and were heard of late. */
  readonly newcomers: readonly Replica[];
  /** Replicas that have acknowledged nothing for long. */
  readonly unresponsive: ReadonlySet<string>;
  /** Learners that hold nearly all of the log. */
  readonly caughtUp: ReadonlySet<string>;
  /** Voters that the site is to have. */
  readonly voterCount: number;
}

/** Learners at a time: one that takes over and one that stands by. */
const MAX_LEARNERS = 2;

/*
 * A replica that lost its disk comes back under a new birth at the same address: the birth that
 * stood there before is lost for certain, without any wait.
 */
const isReplaced = (replica: Replica, others: readonly Replica[]): boolean => (
  others.some(({ id, address }) => address === replica.address && id !== replica.id)
);

const listFailedVoters = ({
  replicas, newcomers, unresponsive: unresponsive, ownId,
}: ReplicaPlanInput): Replica[] => {
  const others = [...newcomers, ...replicas.learners, ...replicas.voters];
  return replicas.voters.filter((voter) => voter.id !== ownId
    && (unresponsive.has(voter.id) || isReplaced(voter, others)));
};

const replaceLearners = (replicas: ReplicaSet, learners: readonly Replica[]): ReplicaSet => (
  { ...replicas, learners }
);

const addLearner = ({ replicas, newcomers }: ReplicaPlanInput): ReplicaSet | undefined => {
  const known = new Set([...replicas.voters, ...replicas.learners].map(({ id }) => id));
  const newcomer = newcomers.find(({ id }) => !known.has(id));
  if (!newcomer || replicas.learners.length >= MAX_LEARNERS) return undefined;
  return replaceLearners(replicas, [...replicas.learners, newcomer]);
};

const listHealthyLearners = ({ replicas, newcomers, unresponsive: unresponsive }: ReplicaPlanInput): Replica[] => (
  replicas.learners.filter((learner) => (
    !unresponsive.has(learner.id) && !isReplaced(learner, newcomers)))
);

const removeFailedLearners = (input: ReplicaPlanInput): ReplicaSet | undefined => {
  const { replicas } = input;
  const healthy = listHealthyLearners(input);
  return healthy.length === replicas.learners.length ? undefined : replaceLearners(replicas, healthy);
};

const promoteLearner = (input: ReplicaPlanInput): ReplicaSet | undefined => {
  const { replicas, caughtUp, voterCount } = input;
  const learner = listHealthyLearners(input).find(({ id }) => caughtUp.has(id));
  if (!learner || replicas.voters.length > voterCount) return undefined;
  const isNeeded = replicas.voters.length < voterCount || listFailedVoters(input).length > 0;
  if (!isNeeded) return undefined;
  return {
    ...replicas,
    voters: [...replicas.voters, learner],
    learners: replicas.learners.filter(({ id }) => id !== learner.id),
  };
};

const removeFailedVoter = (input: ReplicaPlanInput): ReplicaSet | undefined => {
  const { replicas, voterCount } = input;
  const [failed] = listFailedVoters(input);
  if (!failed || replicas.voters.length <= voterCount) return undefined;
  return { ...replicas, voters: replicas.voters.filter(({ id }) => id !== failed.id) };
};

/**
 * Plans the next step by which the replica set heals itself, or undefined when none is due. One
 * that lost its disk, or was exchanged for another machine, is retired only once its successor has
 * caught up and votes, so that the site never counts on a voter that holds nothing.
 *
 * @example
 * const next = planReplicas(situation);
 * if (next) runner.changeReplicas(next);
 */
export const planReplicas = (input: ReplicaPlanInput): ReplicaSet | undefined => (
  removeFailedVoter(input)
    ?? promoteLearner(input)
    ?? removeFailedLearners(input)
    ?? addLearner(input)
);
