import type { MeetReply, MeetRequest, Replica } from '../../protocol/generated/beechlift';
import {
  isSameList, listCandidates, makeUndecidedReply, planFounding,
} from './foundingPlan';
import type { FoundingPlan } from './foundingPlan';

/**
 * The rounds of questions by which a replica that knows no site decides on its founders, without a
 * network.
 *
 * Guards against two lists of founders, if a seed loses its disk meanwhile and returns with another
 * identity. Questions name the founders that the round is about. Who is asked about other founders
 * than its own round is about drops that round, and who has decided no longer answers as one that
 * knows no site. So of two replicas that would decide on different lists, the one that was asked
 * later drops its round.
 *
 * @example
 * const request = rounds.begin();
 * const plan = rounds.end(await askAll(request));
 */
export class FoundingRounds {
  private named: readonly Replica[] = [];

  private isDropped = false;

  private isDecided = false;

  /**
   * @param self this replica, whose identity is stored
   * @param seeds addresses of all founders, stored at the declared first start, else empty
   */
  constructor(private readonly self: Replica, private readonly seeds: readonly string[]) {}

  /** Begins a round; returns the question for all other replicas. */
  begin(): MeetRequest {
    this.isDropped = false;
    return { from: this.self, candidates: [...this.named] };
  }

  /** Answers the question of another replica; undefined once this one has decided. */
  answer({ candidates }: MeetRequest): MeetReply | undefined {
    if (this.isDecided) return undefined;
    if (candidates.length > 0 && !isSameList(candidates, this.named)) this.isDropped = true;
    return makeUndecidedReply(this.self, this.seeds.length > 0);
  }

  /** Ends a round with its replies, by the address that was asked. */
  end(replies: ReadonlyMap<string, MeetReply>): FoundingPlan {
    const { self, seeds, named } = this;
    const plan: FoundingPlan = this.isDropped ? { kind: 'wait' } : planFounding({
      self, seeds, replies, named,
    });
    this.isDecided = plan.kind !== 'wait';
    this.named = listCandidates({ self, seeds, replies });
    return plan;
  }
}
