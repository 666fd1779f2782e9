import type { Replica } from '../protocol/generated/beechlift';

/** How long a replica that asked to take part is remembered, in milliseconds: four askings. */
const REQUEST_TTL_MS = 2_000;

/** Bounds what is remembered. */
const MAX_REQUESTS = 32;

/**
 * Replicas that asked the leader to take part in the site.
 *
 * @example
 * newcomers.note(replica, clock.now());
 */
export class JoinRequests {
  private readonly requests = new Map<string, { replica: Replica; receivedAt: number }>();

  /** Notes that a replica asked. */
  record(replica: Replica, now: number): void {
    this.removeSuperseded(replica);
    if (!this.requests.has(replica.id) && this.requests.size >= MAX_REQUESTS) return;
    this.requests.set(replica.id, { replica, receivedAt: now });
  }

  /** Those that asked of late. */
  list(now: number): Replica[] {
    this.requests.forEach(({ receivedAt: receivedAt }, id) => {
      if (now - receivedAt > REQUEST_TTL_MS) this.requests.delete(id);
    });
    return [...this.requests.values()].map(({ replica }) => replica);
  }

  /** One replica at an address: a birth whose disk is gone asks for nothing. */
  private removeSuperseded({ id, address }: Replica): void {
    this.requests.forEach(({ replica }) => {
      if (replica.address === address && replica.id !== id) this.requests.delete(replica.id);
    });
  }
}
