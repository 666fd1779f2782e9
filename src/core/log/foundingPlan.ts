/**
 * Decides how a replica that knows no site continues: it founds one, joins one, or keeps looking.
 *
 * The settings declare only the very first start of a site. A replica that was killed in that start
 * returns like one that has lost its disk: it has stored nothing, and nothing is declared. It knows
 * nothing of a site and says so; only a stored list of founders, or a leader, shows that there is
 * one. docs/design/founding.md has the argument for its safety.
 */
import type { MeetReply, Replica } from '../../protocol/generated/beechlift';

/** What a replica that knows no site has learnt in one round of questions. */
export interface FoundingInput {
  readonly self: Replica;
  /** Addresses of all founders, stored at the declared first start; empty on other replicas. */
  readonly seeds: readonly string[];
  /** Replies by the address that was asked, to questions sent after the round before ended. */
  readonly replies: ReadonlyMap<string, MeetReply>;
  /** The founders that the round before would have had; empty if it lacked one. */
  readonly previous: readonly Replica[];
  /** Disks that the site may lose at the same time. */
  readonly maxDiskLosses: number;
}

/** How a replica that knows no site continues. */
export type FoundingPlan = | { readonly kind: 'found'; readonly founders: readonly Replica[] }
  | { readonly kind: 'join' }
  | { readonly kind: 'wait'; readonly candidates: readonly Replica[] };

/** A replica that may become a founder. */
interface Candidate {
  readonly replica: Replica;
  /** Whether it stored its identity at the declared first start. */
  readonly isDeclared: boolean;
}

/**
 * Makes the answer of a replica that knows no site.
 *
 * A replica without a declared first start leaves `self` out: replicas of earlier releases count
 * everyone who names it as a founder, without the checks of `planFounding`.
 *
 * @example
 * const reply = makeUndecidedReply(self, seeds.length > 0);
 */
export const makeUndecidedReply = (self: Replica, isDeclared: boolean): MeetReply => ({
  self: isDeclared ? self : undefined,
  founded: false,
  founders: isDeclared ? [] : [self],
  leaderAddress: '',
});

const readCandidate = (
  reply: MeetReply | undefined,
  asked: string,
): Candidate | undefined => {
  if (!reply || reply.founded) return undefined;
  const replica = reply.self ?? reply.founders[0];
  return replica?.address === asked ? { replica, isDeclared: reply.self !== undefined } : undefined;
};

/*
 * Guards against a second site beside one whose founders lost their disks. A site needs a majority
 * of its founders. While fewer candidates than that lack a declaration, the others show that there
 * is none yet. With more, a site could only be unknown to all candidates if a majority of its
 * founders lost their disks, which must then be more than it may lose.
 */
const isSiteRuledOut = (candidates: readonly Candidate[], maxDiskLosses: number): boolean => {
  const majority = Math.floor(candidates.length / 2) + 1;
  const undeclared = candidates.filter(({ isDeclared }) => !isDeclared);
  return undeclared.length < majority || majority > maxDiskLosses;
};

const listCandidates = ({
  self, seeds, replies, maxDiskLosses,
}: FoundingInput): Replica[] => {
  const candidates = seeds.flatMap((address) => (
    address === self.address
      ? { replica: self, isDeclared: true }
      : readCandidate(replies.get(address), address) ?? []));
  const isComplete = candidates.length === seeds.length;
  if (!isComplete || !isSiteRuledOut(candidates, maxDiskLosses)) return [];
  return candidates.map(({ replica }) => replica);
};

const isSameList = (one: readonly Replica[], other: readonly Replica[]): boolean => (
  one.length > 0
  && one.length === other.length
  && one.every(({ id }, position) => id === other[position]?.id)
);

const isListed = (founders: readonly Replica[], { id }: Replica): boolean => (
  founders.some((founder) => founder.id === id)
);

/**
 * Plans how a replica that knows no site continues after a round of questions.
 *
 * It founds a site only if two rounds in a row found the same identity at each seed, and none that
 * knew a site. Between the two rounds, all of them existed and none had voted. So an identity that
 * an earlier list has instead is gone, and has voted with nobody who is left: the two lists cannot
 * lead to two majorities.
 *
 * @example
 * const plan = planFounding({ self, seeds, replies, previous, maxDiskLosses: 1 });
 * if (plan.kind === 'found') await identity.saveFounders(plan.founders);
 */
export const planFounding = (input: FoundingInput): FoundingPlan => {
  const founded = [...input.replies.values()].filter((reply) => reply.founded);
  const lists = founded.map(({ founders }) => founders).filter(({ length }) => length > 0);
  const ownList = lists.find((founders) => isListed(founders, input.self));
  if (ownList) return { kind: 'found', founders: ownList };
  // One that joins a site without having found it yet knows as little as this replica.
  const hasLeader = founded.some(({ leaderAddress }) => leaderAddress !== '');
  if (lists.length > 0 || hasLeader) return { kind: 'join' };
  const candidates = listCandidates(input);
  return isSameList(candidates, input.previous)
    ? { kind: 'found', founders: candidates }
    : { kind: 'wait', candidates };
};
