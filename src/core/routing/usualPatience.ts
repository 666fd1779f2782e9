/** Which requests come back after a refusal, told by the time that their callers have left. */

interface Candidate {
  patienceMs: number;
  /** How often it was seen more than others. */
  votes: number;
}

/** Bounds the table of routes. */
const MAX_ROUTES = 20_000;
/** Bounds the votes, so that another value is learnt within some hundred requests. */
const MAX_VOTES = 200;
/** Part of the usual time below which a caller has used some of it before. */
const RETURNING_PART = 0.97;

/**
 * Learns how long the callers of each route usually wait: the value that most of them give (a
 * majority vote, by Boyer and Moore). A caller that says less has spent the rest on an earlier try,
 * and most callers have one more: refused again, the request is lost, and late is better than lost.
 *
 * @example
 * const isReturning = usual.note('rooms', 9_400); // true where callers usually wait 15,000 ms
 */
export class UsualPatience {
  private readonly byRoute = new Map<string, Candidate>();

  /** Notes a request; tells whether its caller has less time than is usual on the route. */
  note(route: string, patienceMs: number | undefined): boolean {
    if (patienceMs === undefined) return false;
    const usual = this.byRoute.get(route) ?? this.addRoute(route, patienceMs);
    const isReturning = patienceMs < RETURNING_PART * usual.patienceMs;
    this.vote(usual, patienceMs);
    return isReturning;
  }

  private vote(usual: Candidate, patienceMs: number): void {
    if (usual.patienceMs === patienceMs) {
      usual.votes = Math.min(MAX_VOTES, usual.votes + 1);
      return;
    }
    usual.votes -= 1;
    if (usual.votes > 0) return;
    usual.patienceMs = patienceMs;
    usual.votes = 1;
  }

  private addRoute(route: string, patienceMs: number): Candidate {
    if (this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    const candidate = { patienceMs, votes: 0 };
    this.byRoute.set(route, candidate);
    return candidate;
  }
}
