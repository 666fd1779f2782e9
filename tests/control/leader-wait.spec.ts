import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { LeaderWait } from '../../src/control/leaderWait';

describe('the wait for a leader', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /*
   * After the loss of a leader, two hundred entries ask each replica for the new one. Each request
   * checked for it every 10 ms, and these 20,000 checks per second saturated the replicas that had
   * to elect the next leader.
   */
  it('should check for a leader once for all waiting calls', async () => {
    let checks = 0;
    let isLeaderKnown = false;
    const wait = new LeaderWait(() => {
      checks += 1;
      return isLeaderKnown;
    });
    let ended = 0;
    const waiting = Promise.all(Array.from({ length: 200 }, () => wait.wait(1_000).then(() => {
      ended += 1;
    })));
    for (let turn = 0; turn < 20; turn += 1) {
      wait.check();
      // eslint-disable-next-line no-await-in-loop -- the turns run in sequence
      await vi.advanceTimersByTimeAsync(25);
    }
    expect(ended).toBe(0);
    expect(checks).toBeLessThanOrEqual(200 + 20);
    isLeaderKnown = true;
    wait.check();
    await waiting;
    expect(ended).toBe(200);
  });

  it('should end after its time limit if no leader is found', async () => {
    const wait = new LeaderWait(() => false);
    const waiting = wait.wait(300);
    await vi.advanceTimersByTimeAsync(300);
    await expect(waiting).resolves.toBeUndefined();
  });

  it('should not wait if a leader is known, and end when the replica stops', async () => {
    await expect(new LeaderWait(() => true).wait(1_000)).resolves.toBeUndefined();
    const wait = new LeaderWait(() => false);
    const waiting = wait.wait(1_000);
    wait.release();
    await expect(waiting).resolves.toBeUndefined();
  });
});
