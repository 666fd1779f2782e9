import { describe, expect, it } from 'vitest';
import { PairReach } from '../../src/core/routing/pairReach';

const SERVERS = ['w0', 'w1', 'w2', 'w3', 'w4', 'w5'];
const SERVICE = 'rooms';

describe('failures of entries at servers', () => {
  // Two entries that have lost their links to all servers must not take them from the others.
  it('should not count against servers if their entries fail at every server', () => {
    const reach = new PairReach();
    const counts = SERVERS.map((id) => ['e1', 'e2'].map((entryId) => (
      reach.recordFailure(entryId, { id, service: SERVICE }, 0))).at(-1));
    expect(counts.slice(2)).toEqual([0, 0, 0, 0]);
    expect(reach.listPaused('e1', 0)).toEqual(SERVERS);
  });

  it('should count against a server that fails for entries which reach others', () => {
    const reach = new PairReach();
    const counts = ['e1', 'e2'].map((entryId) => {
      SERVERS.slice(1).forEach((id) => reach.recordFailure(entryId, { id, service: SERVICE }, 0));
      reach.recordSuccess(entryId, { id: 'w5', service: SERVICE }, 0);
      return reach.recordFailure(entryId, { id: 'w0', service: SERVICE }, 0);
    });
    expect(counts).toEqual([1, 2]);
  });

  // A cut of seconds must not keep an entry from servers for seconds after it.
  it('should keep an entry from a server for a second at most', () => {
    const reach = new PairReach();
    const server = { id: 'w0', service: SERVICE };
    const failAgain = (now: number): number => {
      if (reach.listPaused('e1', now).length === 0) reach.recordFailure('e1', server, now);
      return now;
    };
    const lastAt = Array.from({ length: 700 }, (unused, step) => failAgain(10 * step)).at(-1) ?? 0;
    expect(reach.listPaused('e1', lastAt + 1_000)).toEqual([]);
  });

  // An entry may lose the servers of one service and reach those of another.
  it('should count for each service by itself', () => {
    const reach = new PairReach();
    SERVERS.forEach((id) => reach.recordFailure('e1', { id, service: SERVICE }, 0));
    reach.recordSuccess('e1', { id: 'd0', service: 'desk' }, 0);
    expect(reach.recordFailure('e1', { id: 'w6', service: SERVICE }, 0)).toBe(0);
    expect(reach.recordFailure('e1', { id: 'd1', service: 'desk' }, 0)).toBe(1);
  });
});
