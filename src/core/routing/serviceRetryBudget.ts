/** Limits how often a service's requests may be retried at one entry. */

/** Limits on retries over all entries together, as configured for the site. */
export interface RetryBounds {
  /** Retries allowed per request in a window. */
  readonly ratio: number;
  /** Retries allowed in a window independent of the number of requests. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Remaining retries of one service. */
interface ServiceBudget {
  remaining: number;
  refilledAt: number;
}

/** Share of the limits that is used: the rest covers entries that restart with a full budget. */
const USED_SHARE = 0.5;

/** Share of the capacity that optional retries leave to others. */
const KEPT_SHARE = 0.25;

/**
 * Counts retries by service. Each request adds the ratio, and the slack is refilled over the
 * window; both are shared among the entries.
 *
 * @example
 * budget.recordRequest('rooms', clock.now());
 * if (budget.take('rooms', clock.now())) retry();
 */
export class ServiceRetryBudget {
  private readonly byService = new Map<string, ServiceBudget>();

  constructor(
    private readonly bounds: RetryBounds,
    private readonly readEntryCount: () => number,
  ) {}

  /** Counts a request of the service. */
  recordRequest(service: string, now: number): void {
    const budget = this.refill(service, now);
    budget.remaining = Math.min(this.capacity, budget.remaining + this.bounds.ratio * USED_SHARE);
  }

  /** Takes one retry from the budget; returns false when none is left. */
  take(service: string, now: number): boolean {
    const budget = this.refill(service, now);
    if (budget.remaining < 1) return false;
    budget.remaining -= 1;
    return true;
  }

  /** Takes a retry that is optional; returns false when few are left. */
  takeSpare(service: string, now: number): boolean {
    const { remaining } = this.refill(service, now);
    return remaining - 1 >= (this.capacity - 1) * KEPT_SHARE && this.take(service, now);
  }

  /** Returns a retry that was taken but not made. */
  refund(service: string, now: number): void {
    const budget = this.refill(service, now);
    budget.remaining = Math.min(this.capacity, budget.remaining + 1);
  }

  private get capacity(): number {
    return Math.max(1, (this.bounds.slack * USED_SHARE) / Math.max(1, this.readEntryCount()));
  }

  private refill(service: string, now: number): ServiceBudget {
    const budget = this.byService.get(service);
    if (!budget) {
      const newBudget = { remaining: this.capacity / 2, refilledAt: now };
      this.byService.set(service, newBudget);
      return newBudget;
    }
    const gained = (this.capacity * (now - budget.refilledAt)) / (2 * this.bounds.windowMs);
    budget.remaining = Math.min(this.capacity, budget.remaining + gained);
    budget.refilledAt = now;
    return budget;
  }
}
