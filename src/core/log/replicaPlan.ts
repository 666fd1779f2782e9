import type { Replica } from '../../protocol/generated/beechlift';
import type { ReplicaSet } from './logTypes';

/** Input of the leader for planning the next change of the replica set. */
export interface ReplicaPlanInput {
  readonly ownId: string;
  readonly replicas: ReplicaSet;
  /** Replicas outside the set that recently asked to join it. */
  readonly newcomers: readonly Replica[];
  /** Replicas that have acknowledged nothing for longer than the time limit. */
  readonly unresponsive: ReadonlySet<string>;
  /** Learners that have nearly all of the log. */
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

const replaceLearners = (replicas: ReplicaSet, learners: readonly Replica[]): ReplicaSet => (
  { ...replicas, learners }
);

const addLearner = ({ replicas, newcomers }: ReplicaPlanInput): ReplicaSet | undefined => {
  const known = new Set([...replicas.voters, ...replicas.learners].map(({ id }) => id));
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
 * Plans the next repair step of the replica set; undefined when none is needed. A voter that lost
 * its disk or was replaced by another machine is removed only after its successor has caught up and
 * become a voter, so the site never relies on a voter with an empty log.
 *
 * @example
 * const next = planReplicas(input);
 * if (next) runner.changeReplicas(next);
 */
export const planReplicas = (input: ReplicaPlanInput): ReplicaSet | undefined => (
  removeFailedVoter(input)
    ?? promoteLearner(input)
    ?? removeFailedLearners(input)
    ?? addLearner(input)
);
