import { setTimeout as pause } from 'node:timers/promises';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FATAL_TEXT } from '../fakes/fragileServer';
import { RoutedSite } from '../fakes/routedSite';
import type { SiteAnswer } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';
import { runSearchAsync } from '../fakes/runSearch';

const SERVERS = 5;
const ENTRIES = 3;
const STEPS = 12;
const STEP_MS = 400;
const FATAL_GAP_MS = 90;
const HONEST_GAP_MS = 40;
/** Time in which updates spread and a lost leader is replaced, in milliseconds. */
const SETTLE_MS = 1_500;
/** Most retries that may still reach servers after that. */
const MAX_LATE = 3;

type Disruption = 'none' | 'loseLeader' | 'addEntry' | 'crashServer';

/** Runs one schedule of disruptions while a request crashes servers. */
class SiteRun {
  private readonly answers: SiteAnswer[] = [];

  private readonly leaderTimes: number[] = [];

  private isOver = false;

  constructor(private readonly site: RoutedSite) {}

  async run(disruptions: readonly Disruption[]): Promise<void> {
    const fatal = this.sendEach(FATAL_GAP_MS, (position) => this.site.send(position, FATAL_TEXT));
    const honest = this.sendEach(HONEST_GAP_MS, async (position) => {
      this.answers.push(await this.site.send(position, `honest ${position}`));
    });
    await disruptions.reduce(async (before, disruption) => {
      await before;
      await Promise.all([this.start(disruption), pause(STEP_MS)]);
    }, Promise.resolve());
    this.isOver = true;
    await Promise.all([fatal, honest]);
  }

  /** Number of fatal requests that arrived after all entries had time to learn of them. */
  get lateCount(): number {
    const { fatalTimes } = this.site;
    const third = fatalTimes[2] ?? Infinity;
    return fatalTimes.filter((at) => {
      const changes = this.leaderTimes.filter((changed) => changed <= at);
      return at - Math.max(third, ...changes) > SETTLE_MS;
    }).length;
  }

  get wronglyRefused(): readonly SiteAnswer[] {
    return this.answers.filter(({ code }) => code === 'requestQuarantined');
  }

  private async sendEach(
    gapMs: number,
    send: (position: number) => Promise<unknown>,
  ): Promise<void> {
    const sends: Promise<unknown>[] = [];
    const sendOn = async (position: number): Promise<void> => {
      if (this.isOver) return;
      sends.push(send(position));
      await pause(gapMs);
      await sendOn(position + 1);
    };
    await sendOn(0);
    await Promise.all(sends);
  }

  private start(disruption: Disruption): Promise<unknown> {
    const starters: Record<Disruption, () => Promise<unknown>> = {
      none: () => Promise.resolve(),
      loseLeader: () => this.replaceLeader(),
      addEntry: () => this.site.addEntry(),
      crashServer: () => this.site.servers[0]?.crash() ?? Promise.resolve(),
    };
    return starters[disruption]();
  }

  private async replaceLeader(): Promise<void> {
    const { control } = this.site;
    const leader = await control.waitForLeader();
    this.leaderTimes.push(performance.now());
    await control.stop(leader);
    await control.start(leader, false);
    await control.waitForLeader();
    this.leaderTimes.push(performance.now());
  }
}

const schedules = fc.array(
  fc.constantFrom<Disruption>('none', 'none', 'loseLeader', 'addEntry', 'crashServer'),
  { minLength: STEPS, maxLength: STEPS },
);

describe('a request that crashes servers, with other failures at the same time', () => {
  // Lost leaders, new entries and other crashes must not let the request continue or make other
  // requests suspect.
  it('should reach no server once all entries had time to learn of it, and quarantine no other request', async () => {
    const property = fc.asyncProperty(schedules, fc.boolean(), async (disruptions, isEngine) => {
      const site = await RoutedSite.start({
        services: [{ name: 'rooms', maxConnections: 100, isEngine }],
        routes: [makeRoute({ timeoutMs: 2_000 })],
      }, ENTRIES);
      try {
        await site.addServers(SERVERS);
        const run = new SiteRun(site);
        await run.run(disruptions);
        expect(run.lateCount).toBeLessThanOrEqual(MAX_LATE);
        expect(run.wronglyRefused).toEqual([]);
      } finally {
        await site.close();
      }
    });
    await runSearchAsync(property, { runs: 3, seed: 27 });
  });
});
