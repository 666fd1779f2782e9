import { describe, expect, it } from 'vitest';
import { planReplicas } from '../../src/core/log/replicaPlan';
import type { ReplicaPlanInput } from '../../src/core/log/replicaPlan';
import type { ReplicaSet } from '../../src/core/log/logTypes';
import type { Replica } from '../../src/protocol/generated/beechlift';

const makeReplica = (id: string, address = id): Replica => ({ id, address, zone: 'a' });

const [a, b, c] = ['a', 'b', 'c'].map((id) => makeReplica(id)) as [Replica, Replica, Replica];

const makeInput = (fields: Partial<ReplicaPlanInput>): ReplicaPlanInput => ({
  ownId: 'a',
  replicas: { voters: [a, b, c], learners: [], leaving: [] },
  newcomers: [],
  unresponsive: new Set(),
  leaving: new Set(),
  caughtUp: new Set(),
  voterCount: 3,
  ...fields,
});

/** Applies plans until no change is needed; all learners catch up immediately. */
const settle = (start: ReplicaPlanInput): ReplicaSet => {
  const caughtUp = new Set(start.newcomers.map(({ id }) => id));
  const run = (current: ReplicaPlanInput, left: number): ReplicaSet => {
    const next = planReplicas(current);
    if (!next) return current.replicas;
    if (left === 0) throw new Error('the plan still requires changes after 20 steps');
    return run({ ...current, replicas: next, caughtUp }, left - 1);
  };
  return run(start, 20);
};

const listIds = (replicas: readonly Replica[]): string => replicas.map(({ id }) => id).sort().join(' ');

describe('the repair of the replica set', () => {
  it('should change nothing when all replicas are available', () => {
    expect(planReplicas(makeInput({}))).toBeUndefined();
  });

  // A replica loses its disk right after it acknowledged a change, and returns with an empty disk
  // at the same address. With its earlier identity, it would be a voter that has lost its vote.
  it('should replace a replica by its new identity at the same address', () => {
    const replacement = makeReplica('c2', 'c');
    const replicas = settle(makeInput({ newcomers: [replacement] }));
    expect([listIds(replicas.voters), listIds(replicas.learners)]).toEqual(['a b c2', '']);
  });

  it('should not let a newcomer vote before it has caught up', () => {
    const replacement = makeReplica('c2', 'c');
    const replicas = { voters: [a, b, c], learners: [replacement], leaving: [] };
    expect(planReplicas(makeInput({ replicas, newcomers: [replacement] }))).toBeUndefined();
  });

  it('should replace an unresponsive voter by a replica at a new address', () => {
    const spare = makeReplica('d');
    const replicas = settle(makeInput({ newcomers: [spare], unresponsive: new Set(['b']) }));
    expect([listIds(replicas.voters), listIds(replicas.learners)]).toEqual(['a c d', '']);
  });

  it('should keep a replica that is not needed as a standby', () => {
    const replicas = settle(makeInput({ newcomers: [makeReplica('d')] }));
    expect([listIds(replicas.voters), listIds(replicas.learners)]).toEqual(['a b c', 'd']);
  });

  it('should remove an unresponsive standby', () => {
    const replicas = { voters: [a, b, c], learners: [makeReplica('d')], leaving: [] };
    const next = planReplicas(makeInput({ replicas, unresponsive: new Set(['d']) }));
    expect(next?.learners).toEqual([]);
  });

  // A voter and the standby lose power at the same time. If the standby became a voter, three of
  // four voters would have to respond, and no change would be accepted until one is back.
  it('should not promote an unresponsive standby to voter', () => {
    const replicas = { voters: [a, b, c], learners: [makeReplica('d'), makeReplica('e')], leaving: [] };
    const next = planReplicas(makeInput({
      replicas, unresponsive: new Set(['c', 'd']), caughtUp: new Set(['d', 'e']),
    }));
    expect(listIds(next?.voters ?? [])).toBe('a b e');
  });

  // A replaced replica and its successor were lost in a row, and nobody led for good: the successor
  // had become a fourth voter beside the replica that was gone.
  it('should take a failed voter out with the same change that makes its successor vote', () => {
    const replicas = { voters: [a, b, c], learners: [makeReplica('d')], leaving: [] };
    const swap = planReplicas(makeInput({
      replicas, unresponsive: new Set(['c']), caughtUp: new Set(['d']),
    }));
    expect([listIds(swap?.voters ?? []), listIds(swap?.previousVoters ?? [])]).toEqual(['a b d', 'a b c']);
    const end = planReplicas(makeInput({ replicas: swap, unresponsive: new Set(['c', 'd']) }));
    expect([listIds(end?.voters ?? []), listIds(end?.previousVoters ?? [])]).toEqual(['a b d', '']);
  });

  it('should add a voter that is missing before it replaces a failed one', () => {
    const replicas = { voters: [a, b], learners: [c], leaving: [] };
    const next = planReplicas(makeInput({
      replicas, unresponsive: new Set(['b']), caughtUp: new Set(['c']),
    }));
    expect([listIds(next?.voters ?? []), next?.previousVoters]).toEqual(['a b c', undefined]);
  });

  // The standby has also lost its disk and has returned with a new identity.
  it('should not promote a replica identity that a newer one at its address replaces', () => {
    const replicas = { voters: [a, b, c], learners: [makeReplica('d')], leaving: [] };
    const start = makeInput({
      replicas, newcomers: [makeReplica('d2', 'd')], unresponsive: new Set(['c']), caughtUp: new Set(['d']),
    });
    expect(listIds(planReplicas(start)?.voters ?? [])).toBe('a b c');
    const settled = settle(start);
    expect([listIds(settled.voters), listIds(settled.learners)]).toEqual(['a b d2', '']);
  });

  it('should remove no voter without a successor', () => {
    expect(planReplicas(makeInput({ unresponsive: new Set(['b', 'c']) }))).toBeUndefined();
  });

  it('should replace one voter at a time, and then require a majority of both sets', () => {
    const start = makeInput({ newcomers: [makeReplica('b2', 'b'), makeReplica('c2', 'c')] });
    const run = (current: ReplicaPlanInput, left: number): void => {
      const next = planReplicas(current);
      if (!next || left === 0) return;
      const before = new Set(current.replicas.voters.map(({ id }) => id));
      const after = new Set(next.voters.map(({ id }) => id));
      const removed = [...before].filter((id) => !after.has(id));
      const added = [...after].filter((id) => !before.has(id));
      expect([removed.length <= 1, added.length <= 1]).toEqual([true, true]);
      const isSwap = removed.length + added.length > 1;
      expect(next.previousVoters ?? []).toEqual(isSwap ? current.replicas.voters : []);
      run({ ...current, replicas: next, caughtUp: new Set(['b2', 'c2']) }, left - 1);
    };
    run(start, 20);
  });
});
