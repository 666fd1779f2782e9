import type { Replica } from '../protocol/generated/beechlift';

/** Lifetime of a join request, in milliseconds: a replica repeats it four times in this time. */
const REQUEST_TTL_MS = 2_000;

/** Bounds the memory that join requests use. */
const MAX_REQUESTS = 32;

/**
 * Replicas that recently asked the leader to join the site.
 *
 * @example
 * joinRequests.record(replica, clock.now());
 */
export class JoinRequests {
  private readonly requests = new Map<string, { replica: Replica; receivedAt: number }>();

  /** Records that a replica asked to join. */
  record(replica: Replica, now: number): void {
    this.removeSuperseded(replica);
    if (!this.requests.has(replica.id) && this.requests.size >= MAX_REQUESTS) return;
    this.requests.set(replica.id, { replica, receivedAt: now });
  }

  /** Lists the replicas whose requests have not expired. */
  list(now: number): Replica[] {
    this.requests.forEach(({ receivedAt }, id) => {
      if (now - receivedAt > REQUEST_TTL_MS) this.requests.delete(id);
    });
    return [...this.requests.values()].map(({ replica }) => replica);
  }

  /** Keeps one replica per address: an earlier identity there lost its disk and cannot join. */
  private removeSuperseded({ id, address }: Replica): void {
    this.requests.forEach(({ replica }) => {
      if (replica.address === address && replica.id !== id) this.requests.delete(replica.id);
    });
  }
}
