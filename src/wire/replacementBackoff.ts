/** Shortest and longest time between two replacements of a connection, in milliseconds. */
const MIN_DELAY_MS = 1_000;
const MAX_DELAY_MS = 4_000;

/**
 * Decides when a connection whose peer does not answer may be replaced.
 *
 * The first replacement is immediate, because something between the two ends may have dropped the
 * connection. If the peer does not answer on the new connection either, it is overloaded or down.
 * An overloaded peer accepts a connection later than a call may wait, so replacing it again at each
 * late call would never reach the peer, and each attempt would cost it processor time.
 *
 * @example
 * if (backoff.tryReplace(clock.now())) openConnection();
 */
export class ReplacementBackoff {
  private replacedAt = -Infinity;

  private delayMs = 0;

  /** Returns whether the connection may be replaced now; if so, the next one has to wait longer. */
  tryReplace(now: number): boolean {
    if (now - this.replacedAt < this.delayMs) return false;
    this.replacedAt = now;
    this.delayMs = Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, 2 * this.delayMs));
    return true;
  }

  /** Allows the next replacement at once, because the peer has answered or refused. */
  reset(): void {
    this.delayMs = 0;
  }
}
