const TOKENS_PER_REQUEST = 0.1;
const MAX_TOKENS = 50;

/**
 * Bounds retries to a share of the requests, so that an outage is not made worse by them.
 *
 * @example
 * budget.noteRequest();
 * if (budget.take()) retry();
 */
export class RetryBudget {
  private tokens = MAX_TOKENS;

  /** Gains a part of a retry. */
  countRequest(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
  }

  /** Takes one retry, when there is one left. */
  tryConsume(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
