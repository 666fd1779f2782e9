import type { CrashSighting } from '../protocol/generated/beechlift';

/** How long a request is remembered, in milliseconds: until the leader's list names it. */
const MEMORY_MS = 2_000;
/** Most requests that are remembered; the oldest are forgotten. */
const MAX_REQUESTS = 1_000;

/**
 * Requests under which servers have just crashed, as reported by entries. The leader's list of
 * suspects names them a little later.
 *
 * @example
 * memory.add(message.sightings, clock.now());
 * if (memory.has(request.fingerprint, clock.now())) leaveToLeader(request);
 */
export class CrashMemory {
  /** Until when each request is remembered, monotonic milliseconds; oldest first. */
  private readonly untilByFingerprint = new Map<string, number>();

  /** Remembers the requests of some reports. */
  add(sightings: readonly CrashSighting[], now: number): void {
    sightings.forEach(({ fingerprint }) => {
      this.untilByFingerprint.delete(fingerprint);
      this.untilByFingerprint.set(fingerprint, now + MEMORY_MS);
    });
    [...this.untilByFingerprint.keys()]
      .slice(0, Math.max(0, this.untilByFingerprint.size - MAX_REQUESTS))
      .forEach((fingerprint) => this.untilByFingerprint.delete(fingerprint));
  }

  /** Whether a server has just crashed under a request. */
  has(fingerprint: string, now: number): boolean {
    return (this.untilByFingerprint.get(fingerprint) ?? -Infinity) > now;
  }
}
