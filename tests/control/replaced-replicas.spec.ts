import fc from 'fast-check';
import prand from 'pure-rand';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { runSearchAsync } from '../fakes/runSearch';
import { AcknowledgedModel } from './acknowledgedModel';
import type { SiteEvent } from './siteEvents';

const SEARCH = { runs: 100, seed: 4_711 };
const pick = fc.nat({ max: 60 });

/** Events without a fault; most of them are smaller than what a change of the voters takes. */
const event: fc.Arbitrary<SiteEvent> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(25, 75) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('deliver' as const), pick }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('sync' as const), machine: fc.nat({ max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('round' as const), ms: fc.constant(25), count: fc.constantFrom(1, 4) }) },
  { weight: 1, arbitrary: fc.constant<SiteEvent>({ kind: 'publish' }) },
);

const runAll = (model: AcknowledgedModel, events: readonly SiteEvent[]): Promise<void> => (
  events.reduce(async (before, item) => {
    await before;
    await model.run(item);
  }, Promise.resolve()));

/** A voter is removed and a standby takes its place; returns the position of the standby. */
const removeVoter = async (model: AcknowledgedModel): Promise<number> => {
  const { follower } = model.findVoters();
  await model.run({ kind: 'remove', machine: follower });
  return model.machines.length - 1;
};

/** A voter loses its disk, and its machine returns with a new identity; returns its position. */
const dropDisk = async (model: AcknowledgedModel): Promise<number> => {
  const { follower } = model.findVoters();
  await runAll(model, [
    { kind: 'dropDisk', machine: follower },
    { kind: 'start', machine: follower },
    { kind: 'round', ms: 60, count: 5 },
  ]);
  return follower;
};

const losses = {
  'a voter is removed': { machines: 4, lose: removeVoter },
  'a voter loses its disk': { machines: 3, lose: dropDisk },
} as const;

/** Runs a search over sites whose machines are as many, with the same random numbers each time. */
const search = (
  machines: number,
  play: (model: AcknowledgedModel, waitMs: number, events: readonly SiteEvent[]) => Promise<void>,
): Promise<number> => runSearchAsync(fc.asyncProperty(
  fc.integer({ min: 1, max: 0x7fffffff }),
  fc.integer({ min: 0, max: 3_500 }),
  fc.array(event, { maxLength: 60 }),
  async (seed, waitMs, events) => {
    const generator = prand.xoroshiro128plus(seed);
    const drawRandom = () => prand.unsafeUniformIntDistribution(0, 9_999, generator) / 10_000;
    vi.spyOn(Math, 'random').mockImplementation(drawRandom);
    const model = new AcknowledgedModel({ machines, losses: 1 }, drawRandom, () => undefined);
    await model.foundSite();
    await play(model, waitMs, events);
    const version = await model.recover();
    expect(model.failures).toEqual([]);
    expect(version).toBeGreaterThanOrEqual(model.acknowledged);
  },
), SEARCH);

afterEach(() => {
  vi.restoreAllMocks();
});

describe('a replica that takes the place of a voter', () => {
  // A machine of control was replaced, its successor lost its disk, and nobody led for good: three
  // of four voters were needed, and two of the four were gone.
  it.each(Object.entries(losses))('should not end the site if its disk is lost at any step: %s', async (name, { machines, lose }) => {
    let acknowledged = 0;
    const runs = await search(machines, async (model, waitMs, events) => {
      const successor = await lose(model);
      await runAll(model, [
        { kind: 'round', ms: 25, count: Math.floor(waitMs / 25) },
        { kind: 'publish' },
        ...events,
        { kind: 'dropDisk', machine: successor },
        { kind: 'round', ms: 60, count: 50 },
        { kind: 'start', machine: successor },
      ]);
      acknowledged += model.acknowledgements;
    });
    expect(acknowledged).toBeGreaterThan(runs / 2);
  });
});

describe('a voter that is stopped', () => {
  // A machine of control got SIGTERM and was removed for good, its successor ready; another one
  // lost its disk within seconds, and nobody led for good: the removed one still had its vote.
  it.each(['follower', 'leader'] as const)('should be missed no more once it has ended, whichever disk is lost next: the %s', async (role) => {
    let ended = 0;
    const runs = await search(4, async (model, waitMs, events) => {
      const stopped = model.findVoters()[role];
      const others = [0, 1, 2, 3].filter((position) => position !== stopped);
      await runAll(model, [{ kind: 'publish' }, { kind: 'stop', machine: stopped }]);
      await model.runUntilEnded(stopped);
      ended += model.machines[stopped]?.isRunning ? 0 : 1;
      await runAll(model, [
        { kind: 'remove', machine: stopped },
        ...events,
        { kind: 'dropDisk', machine: others[waitMs % others.length] ?? 0 },
        { kind: 'round', ms: 60, count: 50 },
        { kind: 'startAll' },
      ]);
    });
    expect(ended).toBe(runs);
  });

  // Guards against a handover that needs more replicas than it gives: a loss while it goes on.
  it('should not end the site if another disk is lost at any step of its stop', async () => {
    await search(4, async (model, waitMs, events) => {
      const { follower, leader } = model.findVoters();
      const stopped = waitMs % 2 === 0 ? follower : leader;
      const others = [0, 1, 2, 3].filter((position) => position !== stopped);
      await runAll(model, [
        { kind: 'publish' },
        { kind: 'stop', machine: stopped },
        ...events,
        { kind: 'dropDisk', machine: others[waitMs % others.length] ?? 0 },
      ]);
      await model.runUntilEnded(stopped);
      await runAll(model, [
        { kind: 'remove', machine: stopped },
        { kind: 'round', ms: 60, count: 20 },
        { kind: 'startAll' },
      ]);
    });
  });

  it('should be the next standby if it comes back at once', async () => {
    await search(4, async (model) => {
      const { follower } = model.findVoters();
      await model.run({ kind: 'stop', machine: follower });
      await model.runUntilEnded(follower);
      await runAll(model, [{ kind: 'start', machine: follower }, { kind: 'round', ms: 60, count: 80 }]);
      expect(model.countReplicas()).toEqual({ voters: 3, learners: 1 });
    });
  });

  it('should end at once where no standby can take its vote', async () => {
    await search(3, async (model) => {
      const { follower } = model.findVoters();
      await runAll(model, [{ kind: 'stop', machine: follower }, { kind: 'round', ms: 25, count: 1 }]);
      expect(model.machines[follower]?.isRunning).toBe(false);
    });
  });
});
