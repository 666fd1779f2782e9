import { describe, expect, it } from 'vitest';
import { ServerReach } from '../../src/core/routing/serverReach';
import type { ConnectResult } from '../../src/core/routing/serverReach';

const READY = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];

const fail = (reach: ServerReach, now: number, ...ids: readonly string[]): void => ids
  .forEach((id) => reach.recordConnect(id, 'refused', now));

const repeat = (result: ConnectResult, count: number): ConnectResult[] => (
  Array.from({ length: count }, () => result));

const cutOff = (result: ConnectResult = 'refused'): ServerReach => {
  const reach = new ServerReach();
  fail(reach, 0, 'w1', 'w2');
  reach.recordProbes(repeat(result, reach.takeProbes(READY, 0).length), 0);
  return reach;
};

describe('the reach of an entry to its backend servers', () => {
  it('should be probed at servers that have not failed, once two have', () => {
    const reach = new ServerReach();
    fail(reach, 0, 'w1', 'w1');
    expect(reach.takeProbes(READY, 0)).toEqual([]);
    fail(reach, 10, 'w2');
    expect(reach.takeProbes(READY, 10)).toEqual(['w3', 'w4', 'w5', 'w6']);
    expect(reach.takeProbes(READY, 20)).toEqual([]);
  });

  it('should be lost if all probes fail, and found again at one that does not', () => {
    const reach = cutOff();
    expect(reach.isCutOff).toBe(true);
    expect(reach.takeProbes(READY, 400)).toEqual([]);
    expect(reach.takeProbes(READY, 600)).toHaveLength(4);
    expect(reach.recordProbes(['refused', 'opened', 'refused', 'refused'], 600)).toBe(true);
    expect(reach.isCutOff).toBe(false);
  });

  // Guards against taking an entry out of use because some servers crashed.
  it('should not be lost while another server accepts connections', () => {
    const reach = new ServerReach();
    fail(reach, 0, 'w1', 'w2');
    expect(reach.takeProbes(READY, 0)).toHaveLength(4);
    expect(reach.recordProbes(['refused', 'refused', 'opened', 'timedOut'], 5)).toBe(false);
    fail(reach, 10, 'w1', 'w2');
    expect(reach.takeProbes(READY, 10)).toEqual([]);
    expect(reach.takeProbes(READY, 2_100)).toEqual([]);
  });

  it('should forget failures that are old, or followed by a new connection', () => {
    const reach = new ServerReach();
    fail(reach, 0, 'w1');
    fail(reach, 3_000, 'w2');
    expect(reach.takeProbes(READY, 3_000)).toEqual([]);
    reach.recordConnect('w3', 'opened', 3_010);
    fail(reach, 3_020, 'w1');
    expect(reach.takeProbes(READY, 3_020)).toEqual([]);
  });

  it('should be silent only if no probe was even refused', () => {
    expect(cutOff('timedOut').isSilent).toBe(true);
    expect(cutOff('refused').isSilent).toBe(false);
  });

  it('should be probed at the only server if there is one', () => {
    const reach = new ServerReach();
    fail(reach, 0, 'w1');
    expect(reach.takeProbes(['w1'], 0)).toEqual(['w1']);
  });
});
