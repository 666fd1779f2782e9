import { setTimeout as pause } from 'node:timers/promises';

/** Interval of the attempts, in milliseconds. */
const RETRY_MS = 100;
/** Most requests that wait; more are refused at once. */
const MAX_WAITING = 100;

/**
 * Lets requests wait that do not fit into their accounts' grants while no leader answers. Their
 * accounts may be within their limits: an entry only knows its own share of a limit, which one
 * large request uses up. The next leader knows better, mostly within half a second.
 *
 * @example
 * const picked = await grantWait.run(() => pickAgain(request), () => clock.now() >= until);
 */
export class GrantWait {
  private waiting = 0;

  /** Repeats an attempt until it resolves with a result, until it throws, or until it is over. */
  async run<Result>(
    attempt: () => Promise<Result | undefined>,
    isOver: () => boolean,
  ): Promise<Result | undefined> {
    if (this.waiting >= MAX_WAITING) return undefined;
    this.waiting += 1;
    try {
      return await this.repeat(attempt, isOver);
    } finally {
      this.waiting -= 1;
    }
  }

  private async repeat<Result>(
    attempt: () => Promise<Result | undefined>,
    isOver: () => boolean,
  ): Promise<Result | undefined> {
    if (isOver()) return undefined;
    await pause(RETRY_MS);
    return await attempt() ?? this.repeat(attempt, isOver);
  }
}
