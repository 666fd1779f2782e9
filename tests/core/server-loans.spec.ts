import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { LEADER, planLoans } from '../../src/core/routing/serverLoans';
import type { LendableServer } from '../../src/core/routing/serverLoans';

const makeServers = (count: number, slots = 4): LendableServer[] => (
  Array.from({ length: count }, (unused, index) => ({ id: `w${index}`, slots })));

const makeDemands = (...demands: readonly number[]): Map<string, number> => (
  new Map(demands.map((demand, index) => [index === 0 ? LEADER : `r${index}`, demand])));

const countBy = (owners: ReadonlyMap<string, string>): Record<string, number> => (
  [...owners.values()].reduce<Record<string, number>>((counts, owner) => ({
    ...counts, [owner]: (counts[owner] ?? 0) + 1,
  }), {}));

describe('the division of servers among the replicas that grant their slots', () => {
  it('should follow demand, and leave the leader some for what only it decides', () => {
    const demands = makeDemands(0, 30, 60);
    const counts = countBy(planLoans({ servers: makeServers(60), demands, owners: new Map() }));
    expect(counts).toEqual({ [LEADER]: 2, r1: 19, r2: 39 });
  });

  it('should leave all servers to the leader where there are few', () => {
    const demands = makeDemands(0, 30, 60);
    const counts = countBy(planLoans({ servers: makeServers(11), demands, owners: new Map() }));
    expect(counts).toEqual({ [LEADER]: 11 });
  });

  it('should return the servers of a replica that is gone', () => {
    const servers = makeServers(30);
    const owners = planLoans({ servers, demands: makeDemands(0, 30, 30), owners: new Map() });
    const later = planLoans({ servers, demands: makeDemands(0, 30), owners });
    expect(countBy(later).r2).toBeUndefined();
  });

  // Replicas that were each a little short got nothing, while the leader kept half of the servers.
  it('should give servers that the leader does not need to replicas that are a little short', () => {
    const servers = makeServers(98);
    const owners = new Map(servers.map(({ id }, index) => [id, index < 50 ? LEADER : `r${1 + (index % 3)}`]));
    const demands = makeDemands(20, 25, 25, 25);
    const counts = countBy(planLoans({ servers, demands, owners }));
    expect(counts[LEADER]).toBeLessThanOrEqual(22);
  });

  // Servers that change hands have requests of both replicas for a moment.
  it('should move no server while demand varies by a tenth', () => {
    const servers = makeServers(98);
    const before = makeDemands(10, 40, 40, 40, 40, 40);
    const owners = planLoans({ servers, demands: before, owners: new Map() });
    const demands = makeDemands(9, 44, 36, 43, 37, 40);
    expect(planLoans({ servers, demands, owners })).toEqual(owners);
  });

  it('should give each server one known granter, whatever the demand', () => {
    fc.assert(fc.property(
      fc.integer({ min: 1, max: 120 }),
      fc.array(fc.double({ min: 0, max: 500, noNaN: true }), { minLength: 1, maxLength: 7 }),
      fc.array(fc.double({ min: 0, max: 500, noNaN: true }), { minLength: 1, maxLength: 7 }),
      (count, before, after) => {
        const servers = makeServers(count);
        const owners = planLoans({ servers, demands: makeDemands(...before), owners: new Map() });
        const demands = makeDemands(...after);
        const later = planLoans({ servers, demands, owners });
        expect([...later.keys()].sort()).toEqual(servers.map(({ id }) => id).sort());
        expect([...later.values()].every((owner) => demands.has(owner))).toBe(true);
      },
    ));
  });
});
