const TOKENS_PER_REQUEST = 0.1;
const MAX_TOKENS = 50;

/**
 * Limits retries to a share of the requests, so that they do not make an outage worse.
 *
 * @example
 * budget.countRequest();
 * if (budget.tryConsume()) retry();
 */
export class RetryBudget {
  private tokens = MAX_TOKENS;

  /** Counts a request, which adds a fraction of a retry. */
  countRequest(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
  }

  /** Consumes one retry, if one is left. */
  tryConsume(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
