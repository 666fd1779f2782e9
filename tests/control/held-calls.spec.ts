import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { HeldCalls } from '../../src/utils/heldCalls';

describe('held calls', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /*
   * A hundred servers start within a second, and each of eighty entries got a reply for each of
   * them: 8,000 replies in a second in which a leader also has to be elected.
   */
  it('should be released once for all updates within the delay', async () => {
    const held = new HeldCalls();
    let ended = 0;
    const hold = (): Promise<void> => held.hold(1_000).then(() => {
      ended += 1;
      return hold();
    });
    hold().catch(() => undefined);
    await Array.from({ length: 50 }).reduce<Promise<void>>(async (before) => {
      await before;
      held.releaseWithin(50);
      await vi.advanceTimersByTimeAsync(10);
    }, Promise.resolve());
    expect(ended).toBeGreaterThanOrEqual(8);
    expect(ended).toBeLessThanOrEqual(10);
  });

  it('should be released at once by an immediate update', async () => {
    const held = new HeldCalls();
    const call = held.hold(1_000);
    held.releaseWithin(50);
    held.release();
    await call;
    const next = held.hold(1_000);
    await vi.advanceTimersByTimeAsync(60);
    expect(held.size).toBe(1);
    await vi.advanceTimersByTimeAsync(1_000);
    await next;
  });
});
