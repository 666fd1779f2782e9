/** How often a service's requests may be repeated at one of the entries that share the bounds. */

/** Bounds on repeats over all entries together, as the site sets them. */
export interface RetryBounds {
  /** Repeats for each request in a window. */
  readonly ratio: number;
  /** Repeats that are allowed in a window whatever the requests. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Repeats that one service has left. */
interface ServiceBudget {
  left: number;
  refilledAt: number;
}

/** Part of the bounds that is used: the rest covers entries that start anew with a full share. */
const USED_SHARE = 0.5;

/**
 * Counts repeats by service. Each request adds the ratio, and the slack is refilled over the
 * window; both are shared by the number of entries.
 *
 * @example
 * allowance.noteRequest('rooms');
 * if (allowance.take('rooms', clock.now())) sendAgain();
 */
export class RetryBudget {
  private readonly byService = new Map<string, ServiceBudget>();

  constructor(
    private readonly bounds: RetryBounds,
    private readonly readEntryCount: () => number,
  ) {}

  /** Counts a request of the service. */
  recordRequest(service: string, now: number): void {
    const allowance = this.refill(service, now);
    allowance.left = Math.min(this.capacity, allowance.left + this.bounds.ratio * USED_SHARE);
  }

  /** Takes one repeat, when there is one left. */
  take(service: string, now: number): boolean {
    const allowance = this.refill(service, now);
    if (allowance.left < 1) return false;
    allowance.left -= 1;
    return true;
  }

  /** Gives back a repeat that was taken and not made. */
  refund(service: string, now: number): void {
    const allowance = this.refill(service, now);
    allowance.left = Math.min(this.capacity, allowance.left + 1);
  }

  private get capacity(): number {
    return Math.max(1, (this.bounds.slack * USED_SHARE) / Math.max(1, this.readEntryCount()));
  }

  private refill(service: string, now: number): ServiceBudget {
    const known = this.byService.get(service);
    if (!known) {
      const fresh = { left: this.capacity / 2, refilledAt: now };
      this.byService.set(service, fresh);
      return fresh;
    }
    const gained = (this.capacity * (now - known.refilledAt)) / (2 * this.bounds.windowMs);
    known.left = Math.min(this.capacity, known.left + gained);
    known.refilledAt = now;
    return known;
  }
}
