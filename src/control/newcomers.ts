import type { Replica } from '../protocol/generated/beechlift';

/** How long a replica that asked to take part is remembered, in milliseconds: four askings. */
const HEARD_MS = 2_000;

/** Bounds what is remembered. */
const MAX_NEWCOMERS = 32;

/**
 * Replicas that asked the leader to take part in the site.
 *
 * @example
 * newcomers.note(replica, clock.now());
 */
export class Newcomers {
  private readonly heard = new Map<string, { replica: Replica; at: number }>();

  /** Notes that a replica asked. */
  note(replica: Replica, now: number): void {
    this.forgetOlder(replica);
    if (!this.heard.has(replica.id) && this.heard.size >= MAX_NEWCOMERS) return;
    this.heard.set(replica.id, { replica, at: now });
  }

  /** Those that asked of late. */
  list(now: number): Replica[] {
    this.heard.forEach(({ at }, id) => {
      if (now - at > HEARD_MS) this.heard.delete(id);
    });
    return [...this.heard.values()].map(({ replica }) => replica);
  }

  /** One replica at an address: a birth whose disk is gone asks for nothing. */
  private forgetOlder({ id, address }: Replica): void {
    this.heard.forEach(({ replica }) => {
      if (replica.address === address && replica.id !== id) this.heard.delete(replica.id);
    });
  }
}
