import fc from 'fast-check';
import prand from 'pure-rand';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { runSearchAsync } from '../fakes/runSearch';
import { AcknowledgedModel } from './acknowledgedModel';
import type { SiteEvent } from './siteEvents';

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
  pickMachineEvent(3, 'kill' as const, 'cutPower' as const, 'dropDisk' as const, 'stop' as const),
  pickMachineEvent(4, 'restartBusy' as const),
  pickMachineEvent(1, 'freeze' as const),
  pickSiteEvent(16, 'publish' as const),
  pickSiteEvent(8, 'startAll' as const),
  pickSiteEvent(1, 'cutPowerOfAll' as const, 'killAll' as const),
);

afterEach(() => {
  vi.restoreAllMocks();
});

describe('acknowledged changes', () => {
  // A change was acknowledged, the disks that held it were lost while other machines lost power,
  // and the site came back without the change or not at all.
  it('should survive the tolerated number of lost disks and a power loss of all other machines', async () => {
    let acknowledged = 0;
    const runs = await runSearchAsync(fc.asyncProperty(
      fc.constantFrom(
        { machines: 3, losses: 1 },
        { machines: 5, losses: 1 },
        { machines: 6, losses: 2 },
      ),
      fc.integer({ min: 1, max: 0x7fffffff }),
      fc.array(event, { minLength: 40, maxLength: 200 }),
      fc.nat({ max: 8 }),
      fc.constantFrom('killAll' as const, 'cutPower' as const, 'cutPower' as const, 'nothing' as const),
      fc.boolean(),
      async (size, seed, events, lastAcknowledgement, fault, targetsNewest) => {
        const generator = prand.xoroshiro128plus(seed);
        const drawRandom = () => prand.unsafeUniformIntDistribution(0, 9_999, generator) / 10_000;
        vi.spyOn(Math, 'random').mockImplementation(drawRandom);
        identities.count = 0;
        const model: AcknowledgedModel = new AcknowledgedModel(size, drawRandom, () => {
          if (model.acknowledgements > lastAcknowledgement) model.endRun(fault, targetsNewest);
        });
        await model.foundSite();
        await events.reduce(async (before, item) => {
          await before;
          await model.run(item);
        }, Promise.resolve());
        model.endRun(fault, targetsNewest);
        const version = await model.recover();
        acknowledged += model.acknowledgements;
        expect(model.failures).toEqual([]);
        expect(version).toBeGreaterThanOrEqual(model.acknowledged);
        expect(model.minVoters).toBeGreaterThanOrEqual(2 * size.losses + 1);
      },
    ), SEARCH);
    expect(acknowledged).toBeGreaterThan(runs);
  });
});
