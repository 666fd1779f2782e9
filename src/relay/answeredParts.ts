import { LRUCache } from 'lru-cache';

/** How long an answer speaks for the parts of its prompt, in milliseconds. */
const VALID_MS = 2_000;

/** Bounds the memory that parts use; those answered longest ago are dropped first. */
const MAX_PARTS = 4_096;

/**
 * Parts of prompts that this entry has just passed a whole answer for. A server that crashes while
 * it runs a request with such a part did so for another reason.
 *
 * @example
 * answeredParts.record(keys, clock.now());
 * const suspects = keys.filter((key) => !answeredParts.has(key, clock.now()));
 */
export class AnsweredParts {
  private readonly answeredAt = new LRUCache<string, number>({ max: MAX_PARTS });

  /** Records that a request with these parts was answered. */
  record(keys: readonly string[], now: number): void {
    keys.forEach((key) => this.answeredAt.set(key, now));
  }

  /** Whether a request with the part was answered a short time ago. */
  has(key: string, now: number): boolean {
    return now - (this.answeredAt.get(key) ?? -Infinity) <= VALID_MS;
  }
}
