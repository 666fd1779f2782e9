import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { FollowLoop } from '../../src/control/followLoop';
import { WatchReply, WatchRequest } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';

/** A follower before leaders that take a while to reply, or never do. */
class FollowRig {
  followedAddress = 'leader-1';

  readonly asked: string[] = [];

  applied = 0;

  delayMs = 20;

  private readonly silent = new Set<string>();

  readonly loop = new FollowLoop({
    node: this,
    send: (address, request, timeoutMs) => this.answer(address, timeoutMs),
    logger: makeLogger('test', 'silent'),
  });

  buildFollowRequest(): WatchRequest {
    return WatchRequest.fromPartial({});
  }

  follow(): void {
    this.applied += 1;
  }

  stopLeader(address: string): void {
    this.silent.add(address);
  }

  private async answer(address: string, timeoutMs: number): Promise<WatchReply> {
    this.asked.push(address);
    const delayMs = this.silent.has(address) ? Infinity : this.delayMs;
    await pause(Math.min(delayMs, timeoutMs));
    if (delayMs > timeoutMs) throw new Error('no reply in time');
    return WatchReply.fromPartial({ leaseMs: 2_000 });
  }
}

describe('the watch requests of a follower', () => {
  let rig: FollowRig;

  beforeEach(() => {
    rig = new FollowRig();
  });

  afterEach(() => {
    rig.loop.stop();
  });

  // Requests to a leader that replied after a second were given up and sent again. None was ever
  // answered, and the replica had neither servers nor grants while it was most needed.
  it('should wait for the reply of a slow leader instead of being sent again', async () => {
    rig.delayMs = 1_200;
    rig.loop.start();
    await pause(2_700);
    expect(rig.applied).toBe(2);
    expect(rig.asked).toHaveLength(3);
  });

  it('should go to the next leader although the last one has not replied', async () => {
    rig.stopLeader('leader-1');
    rig.loop.start();
    await pause(100);
    rig.followedAddress = 'leader-2';
    await pause(700);
    expect(rig.asked.slice(0, 2)).toEqual(['leader-1', 'leader-2']);
    expect(rig.applied).toBeGreaterThan(0);
  });

  it('should not be sent while no leader is known', async () => {
    rig.followedAddress = '';
    rig.loop.start();
    await pause(300);
    expect(rig.asked).toEqual([]);
  });
});
