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
  /** The founders that the questions named; empty if the round before lacked one. */
  readonly named: readonly Replica[];
}

/** How a replica that knows no site continues. */
export type FoundingPlan = | { readonly kind: 'found'; readonly founders: readonly Replica[] }
  | { readonly kind: 'join' }
  | { readonly kind: 'wait' };

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

/** Whether a reply shows that a site exists: by its founders, or by its leader. */
export const isWordOfSite = ({ founded, founders, leaderAddress }: MeetReply): boolean => (
  founded && (founders.length > 0 || leaderAddress !== '')
);

/**
 * Whether two lists name the same identities.
 *
 * @example
 * if (!isSameList(request.candidates, named)) dropRound();
 */
export const isSameList = (one: readonly Replica[], other: readonly Replica[]): boolean => (
  one.length === other.length && one.every(({ id }, position) => id === other[position]?.id)
);

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
 * of its founders. A declared replica that knows no site has never been one of them, so no majority
 * can have been while fewer than a majority of the candidates lack a declaration.
 */
const isSiteRuledOut = (candidates: readonly Candidate[]): boolean => {
  const majority = Math.floor(candidates.length / 2) + 1;
  return candidates.filter(({ isDeclared }) => !isDeclared).length < majority;
};

/** Lists the founders that a site would have by the replies of a round; empty if one is missing. */
export const listCandidates = ({
  self, seeds, replies,
}: Omit<FoundingInput, 'named'>): Replica[] => {
  const candidates = seeds.flatMap((address) => (
    address === self.address
      ? { replica: self, isDeclared: true }
      : readCandidate(replies.get(address), address) ?? []));
  const isComplete = candidates.length === seeds.length;
  return isComplete && isSiteRuledOut(candidates) ? candidates.map(({ replica }) => replica) : [];
};

const isListed = (founders: readonly Replica[], { id }: Replica): boolean => (
  founders.some((founder) => founder.id === id)
);

/**
 * Plans how a replica that knows no site continues after a round of questions.
 *
 * It founds a site only with the identities that its questions named and that all answered, none of
 * which knew a site. `FoundingRounds` drops rounds that would lead to two lists.
 *
 * @example
 * const plan = planFounding({ self, seeds, replies, named });
 * if (plan.kind === 'found') await identity.saveFounders(plan.founders);
 */
export const planFounding = (input: FoundingInput): FoundingPlan => {
  const words = [...input.replies.values()].filter(isWordOfSite);
  const ownList = words.map(({ founders }) => founders)
    .find((founders) => isListed(founders, input.self));
  if (ownList) return { kind: 'found', founders: ownList };
  if (words.length > 0) return { kind: 'join' };
  const candidates = listCandidates(input);
  return candidates.length > 0 && isSameList(candidates, input.named)
    ? { kind: 'found', founders: candidates }
    : { kind: 'wait' };
};
