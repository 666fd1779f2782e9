import fc from 'fast-check';
import prand from 'pure-rand';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { runSearchAsync } from '../fakes/runSearch';
import { AcknowledgedModel } from './acknowledgedModel';
import type { LastFault, SiteEvent, SiteSize } from './acknowledgedModel';

const identities = vi.hoisted(() => ({ count: 0 }));

vi.mock('node:crypto', async (load) => ({
  ...await load<typeof import('node:crypto')>(),
  randomUUID: () => {
    identities.count += 1;
    return `b${(identities.count * 7) % 10}${identities.count}`;
  },
}));

const SEARCH = { runs: 60, seed: 4_711 };

const pick = fc.nat({ max: 60 });
const machine = fc.nat({ max: 6 });

const pickMachineEvent = <Kind extends string>(weight: number, ...kinds: Kind[]) => ({
  weight, arbitrary: fc.record({ kind: fc.constantFrom(...kinds), machine }),
});

const pickSiteEvent = <Kind extends string>(weight: number, ...kinds: Kind[]) => ({
  weight, arbitrary: fc.record({ kind: fc.constantFrom(...kinds) }),
});

const event: fc.Arbitrary<SiteEvent> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(10, 75, 300, 700) }) },
  {
    weight: 16,
    arbitrary: fc.record({
      kind: fc.constant('round' as const), ms: fc.constantFrom(25, 60, 150), count: fc.constantFrom(1, 2, 6, 40),
    }),
  },
  { weight: 16, arbitrary: fc.record({ kind: fc.constant('deliver' as const), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), pick }) },
  pickMachineEvent(14, 'sync' as const),
  pickMachineEvent(2, 'compact' as const),
  pickMachineEvent(3, 'kill' as const, 'cutPower' as const, 'dropDisk' as const),
  pickMachineEvent(4, 'restartBusy' as const),
  pickMachineEvent(1, 'freeze' as const),
  pickSiteEvent(16, 'publish' as const),
  pickSiteEvent(8, 'startAll' as const),
  pickSiteEvent(1, 'cutPowerOfAll' as const, 'killAll' as const),
);

afterEach(() => {
  vi.restoreAllMocks();
});

interface DrawnRun {
  readonly size: SiteSize;
  readonly seed: number;
  readonly events: readonly SiteEvent[];
  readonly lastAcknowledgement: number;
  readonly fault: LastFault;
  readonly targetsNewest: boolean;
}

const run: fc.Arbitrary<DrawnRun> = fc.record({
  size: fc.constantFrom<SiteSize>({ machines: 5, losses: 1 }, { machines: 6, losses: 2 }),
  seed: fc.integer({ min: 1, max: 0x7fffffff }),
  events: fc.array(event, { minLength: 40, maxLength: 200 }),
  lastAcknowledgement: fc.nat({ max: 8 }),
  fault: fc.constantFrom<LastFault>('killAll', 'cutPower', 'cutPower', 'nothing'),
  targetsNewest: fc.boolean(),
});

/** Lets all random numbers and identities depend on the seed alone. */
const seedRandom = (seed: number): (() => number) => {
  const generator = prand.xoroshiro128plus(seed);
  const drawRandom = () => prand.unsafeUniformIntDistribution(0, 9_999, generator) / 10_000;
  vi.spyOn(Math, 'random').mockImplementation(drawRandom);
  identities.count = 0;
  return drawRandom;
};

/** Runs drawn events on a new site, with the checks that hold for all of them. */
const runDrawn = async (
  {
    size, seed, events, lastAcknowledgement, fault, targetsNewest,
  }: DrawnRun,
  found: (model: AcknowledgedModel) => Promise<void>,
): Promise<AcknowledgedModel> => {
  const drawRandom = seedRandom(seed);
  const model: AcknowledgedModel = new AcknowledgedModel(size, drawRandom, () => {
    if (model.acknowledgements > lastAcknowledgement) model.endRun(fault, targetsNewest);
  });
  await found(model);
  await events.reduce(async (before, item) => {
    await before;
    await model.run(item);
  }, Promise.resolve());
  model.endRun(fault, targetsNewest);
  const version = await model.recover();
  expect(model.failures).toEqual([]);
  expect(version).toBeGreaterThanOrEqual(model.acknowledged);
  return model;
};

describe('acknowledged changes', () => {
  // A change was acknowledged, the disks that held it were lost while other machines lost power,
  // and the site came back without the change or not at all.
  it('should survive the tolerated number of lost disks and a power loss of all other machines', async () => {
    let acknowledged = 0;
    const runs = await runSearchAsync(fc.asyncProperty(run, async (drawn) => {
      const model = await runDrawn(drawn, (started) => started.foundSite());
      acknowledged += model.acknowledgements;
      expect(model.minVoters).toBeGreaterThanOrEqual(2 * drawn.size.losses + 1);
    }), SEARCH);
    expect(acknowledged).toBeGreaterThan(runs);
  });

  // A replica that keeps a lost identity among its voters needs all others as soon as it leads. If
  // another disk was lost by then, nobody could lead.
  it('should not keep an earlier list of founders at any replica', async () => {
    const seeds = Array.from({ length: 20 }, (unused, position) => position + 1);
    const kept = await seeds.reduce(async (before, seed) => {
      const found = await before;
      const drawRandom = seedRandom(seed);
      const model = new AcknowledgedModel(
        { machines: 3, losses: 1 },
        drawRandom,
        () => undefined,
      );
      await model.foundSiteOfTwoLists(1 + (seed % 2));
      await model.run({ kind: 'round', ms: 60, count: 60 });
      return [...found, ...model.listLostVoters()];
    }, Promise.resolve<string[]>([]));
    expect(kept).toEqual([]);
  });

  // A seed loses its disk while the site is founded: one founder's list may still have its earlier
  // identity, which has voted with no one.
  it('should survive a founding with two lists of founders', async () => {
    let acknowledged = 0;
    const runs = await runSearchAsync(fc.asyncProperty(
      run,
      fc.constantFrom(1, 2),
      async (drawn, earlierCount) => {
        const size = { machines: 5, losses: 1 };
        const model = await runDrawn(
          { ...drawn, size },
          (started) => started.foundSiteOfTwoLists(earlierCount),
        );
        acknowledged += model.acknowledgements;
      },
    ), SEARCH);
    expect(acknowledged).toBeGreaterThan(runs / 2);
  });
});
