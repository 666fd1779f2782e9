import { rmSync } from 'node:fs';
import { join } from 'node:path';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { OperatorClient } from '../../src/cli/operatorClient';
import { makeExpectedText } from '../fakes/engineModel';
import {
  makeManifest, OPERATOR_KEY, TestSite, waitUntil,
} from '../fakes/testSite';
import { findFreeAddress } from '../fakes/freeAddress';
import type { SiteProcess } from '../fakes/testSite';

describe('control under failure', () => {
  let site: TestSite;

  beforeEach(async () => {
    site = new TestSite();
    await site.start(3, 2);
  });
  afterEach(() => site.stop());

  const findLeader = async (): Promise<SiteProcess> => {
    const { id, role } = await site.readControl();
    const leader = site.controls.find((control) => control.id === id);
    if (!leader || role !== 'leader') throw new Error('control has no leader');
    return leader;
  };

  /*
   * The leader dies right after a pipeline submitted version 2, and the answer is lost. The
   * pipeline sends it again. It must receive the same acceptance, and version 2 must stay accepted.
   */
  it('should give the same acceptance to a resend after the leader died', async () => {
    const accepted = await site.submit(makeManifest(2));
    await site.kill(await findLeader());
    const again = await site.submit(makeManifest(2));
    expect([again.code, again.digest]).toEqual([0, accepted.digest]);
    await site.submit(makeManifest(3));
    await site.waitForVersion(3);
    const old = await site.submit(makeManifest(2));
    expect([old.code, old.digest]).toEqual([0, accepted.digest]);
    const [entry] = site.entries as [SiteProcess];
    expect((await site.readStatus(entry)).manifestVersion).toBe(3);
  });

  /*
   * Several operators submit version 2 with different contents at the same moment, through
   * different replicas. Only one may receive an acceptance.
   */
  it('should accept exactly one of two manifests that race for a version', async () => {
    const variants = [7_000, 8_000, 9_000].map((totalMs) => makeManifest(2, {
      tiers: {
        door: { rank: 0, firstTokenMs: 1_000, totalMs },
        history: { rank: 1, firstTokenMs: 1_000, totalMs },
      },
    }));
    const replies = await Promise.all(variants.map((variant, position) => (
      new OperatorClient(
        [site.controlAddresses[position] ?? ''],
        OPERATOR_KEY,
      ).submit(JSON.stringify(variant), 20_000))));
    expect(replies.map(({ code }) => code).sort()).toEqual([0, 4007, 4007]);
    expect(new Set(replies.map(({ digest }) => digest)).size).toBe(1);
  });

  /*
   * Two of three control VMs are lost. Entries cannot determine whether a newer manifest is in
   * force, so they must not continue with the old one. They must refuse new requests as not run,
   * and serve again without intervention once control is back.
   */
  it('should refuse new work as not run without a control quorum, and come back by itself', async () => {
    const engine = await site.addEngine('g1');
    const [entry] = site.entries as [SiteProcess];
    const running = site.send(entry, 'long', { tokens: 900 });
    await waitUntil('it has begun', () => engine.dispatched.length === 1);
    await Promise.all(site.controls.slice(0, 2).map((control) => site.kill(control)));
    await waitUntil('the lease is over', async () => !(await site.readStatus(entry)).isServing);
    const refused = await site.send(entry, 'short');
    expect(
      [refused.status, refused.body.error?.name, refused.body.error?.run],
    ).toEqual([503, 'configurationStale', 'notRun']);
    expect((await running).text).toBe(makeExpectedText('long', 900));
    site.controls.slice(0, 2).forEach((control) => site.restart(control));
    await waitUntil('it serves again', async () => (await site.send(entry, 'short')).status === 200);
    expect(engine.dispatched).toHaveLength(2);
  });

  /*
   * An entry VM is paused while a manifest removes a model, and resumes after its lease has
   * expired. It must not serve any request with its outdated manifest.
   */
  it('should not serve on an old manifest after a pause', async () => {
    const engine = await site.addEngine('g1');
    const [entry, other] = site.entries as [SiteProcess, SiteProcess];
    site.freeze(entry, true);
    await site.submit(makeManifest(2, {
      models: { other: {} }, pools: { engines: { kind: 'model', models: ['other'] } },
    }));
    await site.waitForVersion(2, [other]);
    await waitUntil('the lease of the paused entry is over', async () => {
      const { members } = await site.readControl();
      return members.every(({ member, silentMs }) => member?.id !== entry.id || silentMs > 4_000);
    });
    const answerAfterPause = site.send(entry, 'short');
    site.freeze(entry, false);
    expect((await answerAfterPause).status).not.toBe(200);
    expect(engine.dispatched).toHaveLength(0);
    await site.waitForVersion(2);
  });

  /*
   * A control VM lost its disk and restarts with an empty folder. If it voted again, it and one
   * replica that is behind could form a majority without an accepted manifest or a claim.
   */
  it('should not let a replica vote that lost its disk', async () => {
    const lost = site.controls.find(({ id }) => id === 'c2') as SiteProcess;
    await site.kill(lost);
    rmSync(join(site.folder, 'data-c2'), { recursive: true });
    site.restart(lost);
    await waitUntil('it ends', () => lost.child.exitCode !== null);
    expect(lost.child.exitCode).toBe(4);
  });

  /*
   * A control VM is replaced, and right after the replacement a second one is lost. A majority that
   * includes the new replica must still have the accepted manifests and the claims.
   */
  it('should lose neither manifests nor claims when a second VM is lost right after a repair', async () => {
    const engine = await site.addEngine('g1');
    const [entry] = site.entries as [SiteProcess];
    const before = await site.send(entry, 'issue a room', { key: 'room-1' });
    await site.submit(makeManifest(2));
    const replaced = site.controls.find(({ id }) => id === 'c2') as SiteProcess;
    await site.kill(replaced);
    const newcomer = { id: 'c4', address: await findFreeAddress(), zone: 'az-2' };
    await site.addControl(newcomer, true);
    const started = await site.operator.changeReplicas({ removeId: 'c2', add: newcomer }, 20_000);
    expect(started.code).toBe(0);
    await waitUntil('the holders have moved', async () => {
      const { holders } = await site.readControl();
      return holders?.previous.length === 0 && holders.current.some(({ id }) => id === 'c4');
    });
    const second = site.controls.find(({ id }) => id === 'c1') as SiteProcess;
    await site.kill(second);
    const again = await site.submit(makeManifest(2));
    expect(again.code).toBe(0);
    await waitUntil('entries serve', async () => (await site.readStatus(entry)).isServing);
    const after = await site.send(entry, 'issue a room', { key: 'room-1' });
    expect(after.text).toBe(before.text);
    expect(engine.dispatched).toHaveLength(1);
  });

  /*
   * All VMs lose power at once. After the restart the accepted manifest and the claims must still
   * exist, and a request that ran must not run again.
   */
  it('should keep accepted manifests and claims after all processes were killed', async () => {
    const engine = await site.addEngine('g1');
    const [entry] = site.entries as [SiteProcess];
    const before = await site.send(entry, 'issue a room', { key: 'room-1' });
    await site.submit(makeManifest(2));
    const all = [...site.controls, ...site.entries];
    await Promise.all(all.map((member) => site.kill(member)));
    all.forEach((member) => site.restart(member));
    await site.waitForVersion(2);
    expect((await site.send(entry, 'issue a room', { key: 'room-1' })).text).toBe(before.text);
    expect(engine.dispatched).toHaveLength(1);
  });
});
