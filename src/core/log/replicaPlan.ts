import type { Replica } from '../../protocol/generated/beechlift';
import type { ReplicaSet } from './logTypes';

/** What the leader knows when it looks after the replica set. */
export interface ReplicaSituation {
  readonly ownId: string;
  readonly replicas: ReplicaSet;
  /** Replicas outside of the set that asked to take part and were heard of late. */
  readonly newcomers: readonly Replica[];
  /** Replicas that have acknowledged nothing for long. */
  readonly silent: ReadonlySet<string>;
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

const listLost = ({
  replicas, newcomers, silent, ownId,
}: ReplicaSituation): Replica[] => {
  const others = [...newcomers, ...replicas.learners, ...replicas.voters];
  return replicas.voters.filter((voter) => voter.id !== ownId
    && (silent.has(voter.id) || isReplaced(voter, others)));
};

const replaceLearners = (replicas: ReplicaSet, learners: readonly Replica[]): ReplicaSet => (
  { ...replicas, learners }
);

const admitNewcomer = ({ replicas, newcomers }: ReplicaSituation): ReplicaSet | undefined => {
  const known = new Set([...replicas.voters, ...replicas.learners].map(({ id }) => id));
  const newcomer = newcomers.find(({ id }) => !known.has(id));
  if (!newcomer || replicas.learners.length >= MAX_LEARNERS) return undefined;
  return replaceLearners(replicas, [...replicas.learners, newcomer]);
};

const listHeardLearners = ({ replicas, newcomers, silent }: ReplicaSituation): Replica[] => (
  replicas.learners.filter((learner) => (
    !silent.has(learner.id) && !isReplaced(learner, newcomers)))
);

const dropLostLearner = (situation: ReplicaSituation): ReplicaSet | undefined => {
  const { replicas } = situation;
  const heard = listHeardLearners(situation);
  return heard.length === replicas.learners.length ? undefined : replaceLearners(replicas, heard);
};

const promoteLearner = (situation: ReplicaSituation): ReplicaSet | undefined => {
  const { replicas, caughtUp, voterCount } = situation;
  const learner = listHeardLearners(situation).find(({ id }) => caughtUp.has(id));
  if (!learner || replicas.voters.length > voterCount) return undefined;
  const isNeeded = replicas.voters.length < voterCount || listLost(situation).length > 0;
  if (!isNeeded) return undefined;
  return {
    ...replicas,
    voters: [...replicas.voters, learner],
    learners: replicas.learners.filter(({ id }) => id !== learner.id),
  };
};

const retireLost = (situation: ReplicaSituation): ReplicaSet | undefined => {
  const { replicas, voterCount } = situation;
  const [lost] = listLost(situation);
  if (!lost || replicas.voters.length <= voterCount) return undefined;
  return { ...replicas, voters: replicas.voters.filter(({ id }) => id !== lost.id) };
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
export const planReplicas = (situation: ReplicaSituation): ReplicaSet | undefined => (
  retireLost(situation)
    ?? promoteLearner(situation)
    ?? dropLostLearner(situation)
    ?? admitNewcomer(situation)
);
