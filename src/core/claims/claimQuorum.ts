import type {
  Ballot, ClaimReply, ClaimValue, HolderSet, Replica,
} from '../../protocol/generated/beechlift';
import { rankByRendezvous } from '../../utils/rendezvous';
import { compareBallots, ZERO_BALLOT } from './ballot';

/** Holders of one claim, in different availability zones if there are enough zones. */
export const HOLDERS_PER_CLAIM = 3;

const pickHolders = (replicas: readonly Replica[], key: string): Replica[] => {
  const byId = new Map(replicas.map((replica) => [replica.id, replica]));
  const ranked = rankByRendezvous(`claim:${key}`, [...byId.keys()])
    .flatMap((id) => byId.get(id) ?? []);
  const firstPerZone = ranked.filter((replica, position) => (
    ranked.findIndex(({ zone }) => zone === replica.zone) === position));
  const others = ranked.filter((replica) => !firstPerZone.includes(replica));
  return [...firstPerZone, ...others].slice(0, HOLDERS_PER_CLAIM);
};

/** Groups that must each agree by majority: one, or two while holders are being replaced. */
export interface HolderGroups {
  /** Number of the holder set. */
  readonly number: number;
  readonly groups: readonly (readonly Replica[])[];
}

/**
 * Finds the holder groups of a claim.
 *
 * @example
 * const { groups } = findHolderGroups(holderSet, key);
 */
export const findHolderGroups = (set: HolderSet, key: string): HolderGroups => ({
  number: set.number,
  groups: [set.current, set.previous]
    .map((replicas) => pickHolders(replicas, key))
    .filter((group) => group.length > 0),
});

/** Lists the holders of all groups, each once. */
export const listHolders = ({ groups }: HolderGroups): Replica[] => (
  [...new Map(groups.flat().map((replica) => [replica.id, replica])).values()]
);

/** Replies by holder id. */
export type ClaimReplies = ReadonlyMap<string, ClaimReply>;

/** Outcome of a round, given the replies so far. */
export type QuorumState = 'won' | 'lost' | 'open';

const countMembers = (
  group: readonly Replica[],
  ids: ReadonlySet<string>,
): number => group.filter(({ id }) => ids.has(id)).length;

/**
 * Evaluates a round: won when a majority of every group accepted, lost when some group can no
 * longer reach a majority, open otherwise.
 *
 * @param failed holders that could not be reached
 * @example
 * const state = evaluateQuorum(groups, replies, failed);
 */
export const evaluateQuorum = (
  { groups }: HolderGroups,
  replies: ClaimReplies,
  failed: ReadonlySet<string>,
): QuorumState => {
  const agreed = new Set([...replies].filter(([, reply]) => reply.ok).map(([id]) => id));
  const refused = new Set([...replies].filter(([, reply]) => !reply.ok).map(([id]) => id));
  const against = new Set([...refused, ...failed]);
  if (groups.length === 0) return 'lost';
  if (groups.every((group) => countMembers(group, agreed) > group.length / 2)) return 'won';
  const isLost = groups.some((group) => countMembers(group, against) >= group.length / 2);
  return isLost ? 'lost' : 'open';
};

/**
 * Finds the value with the highest accepted ballot in the replies of a won prepare round. The
 * proposer must propose this value; undefined when it is free to choose.
 *
 * @example
 * const value = findAcceptedValue(replies.values());
 */
export const findAcceptedValue = (replies: Iterable<ClaimReply>): ClaimValue | undefined => {
  const [newest] = [...replies]
    .filter((reply) => reply.ok && reply.value !== undefined)
    .sort((a, b) => compareBallots(b.accepted ?? ZERO_BALLOT, a.accepted ?? ZERO_BALLOT));
  return newest?.value;
};

/**
 * Computes a ballot that is higher than `minimum` and than all ballots in the replies.
 *
 * @example
 * const ballot = computeNextBallot('e1:7f3a', replies.values());
 */
export const computeNextBallot = (
  proposer: string,
  seen: Iterable<ClaimReply>,
  minimum: Ballot = ZERO_BALLOT,
): Ballot => {
  const rounds = [...seen].map(({ promised }) => promised?.round ?? 0);
  return { round: Math.max(minimum.round, 0, ...rounds) + 1, proposer };
};
