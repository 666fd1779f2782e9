import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { makeExpectedText } from '../fakes/engineModel';
import type { FakeEngine } from '../fakes/fakeEngine';
import { makeManifest, TestSite, waitUntil } from '../fakes/testSite';
import type { SiteProcess } from '../fakes/testSite';

const makeVersion = (version: number, checksFencing = true): object => makeManifest(version, {
  models: { guide: { modelVersion: `v${version}` } },
  pools: { engines: { kind: 'model', models: ['guide'], checksFencing } },
  limits: { locateMs: 300, loadsPerMinute: 120 },
});

const readCarried = ({ appliedOrder }: FakeEngine): string | undefined => (
  appliedOrder?.models[0]?.modelVersion
);

describe('orders under failure', () => {
  let site: TestSite;

  beforeEach(async () => {
    site = new TestSite();
    await site.start(1, 3);
  });
  afterEach(() => site.stop());

  const addEngines = (options: object) => Promise.all(['g1', 'g2'].map((id) => (
    site.addEngine(id, { loadMs: 300, decodeMs: 10, ...options }))));

  const waitForVersion = (engines: readonly FakeEngine[], version: string) => (
    waitUntil(`all engines carry ${version}`, () => (
      engines.every((engine) => readCarried(engine) === version))));

  /*
   * A pipeline rolls out a new model version while requests are running. No answer may be aborted,
   * and at least one engine must serve the model at any time, so that no request is refused.
   */
  it('should roll out a new version to all engines and abort no answer', async () => {
    const engines = await addEngines({});
    await site.submit(makeVersion(2));
    let isRolling = true;
    const askUntilRolledOut = async (
      entry: SiteProcess,
      prompt: string,
      before: string[],
    ): Promise<string[]> => {
      const { text } = await site.send(entry, prompt, { tokens: 60, tier: 'history' });
      return isRolling ? askUntilRolledOut(entry, prompt, [...before, text]) : [...before, text];
    };
    const asked = Array.from({ length: 6 }, (unused, position) => (
      askUntilRolledOut(site.entries[position % 3] as SiteProcess, `p${position}`, [])));
    await waitForVersion(engines, 'v2');
    isRolling = false;
    const answers = await Promise.all(asked);
    const wrong = answers.flatMap((texts, position) => (
      texts.filter((text) => text !== makeExpectedText(`p${position}`, 60))));
    expect(wrong).toEqual([]);
    expect(engines.map(({ interruptedByOrders }) => interruptedByOrders)).toEqual([0, 0]);
  });

  /*
   * The entry VM that sends the orders dies in the middle of a roll-out. The other engine must not
   * stay on the old version, and the new owner must not send conflicting orders.
   */
  it('should go on with the roll-out when the owner of the pool dies', async () => {
    const engines = await addEngines({ ignoresFencing: true });
    await site.submit(makeVersion(2, false));
    await waitUntil('one is ordered', () => engines.some(({ orders }) => orders.length > 0));
    await site.kill(await site.findOwner());
    await waitForVersion(engines, 'v2');
    const counts = engines.map(({ orders }) => (
      orders.filter(({ models }) => models[0]?.modelVersion === 'v2').length));
    expect(counts).toEqual([1, 1]);
  });

  /*
   * An engine restarts and has lost what it was ordered to load. Its pool must not continue to
   * treat the version as loaded there.
   */
  it('should order an engine again that has lost what it loaded', async () => {
    const engines = await addEngines({});
    await site.submit(makeVersion(2));
    await waitForVersion(engines, 'v2');
    const [first] = engines as [FakeEngine];
    first.resetOrders();
    await waitForVersion(engines, 'v2');
    expect(first.orders).toHaveLength(1);
  });
});
