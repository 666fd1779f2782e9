import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { makeExpectedText } from '../fakes/engineModel';
import { SilentProxy } from '../fakes/silentProxy';
import { makeManifest, TestSite, waitUntil } from '../fakes/testSite';
import type { SiteProcess } from '../fakes/testSite';

describe('connections under failure', () => {
  let site: TestSite;
  let entry: SiteProcess;
  let proxy: SilentProxy;

  beforeEach(async () => {
    site = new TestSite();
    await site.start(1, 2);
    [entry] = site.entries as [SiteProcess];
  });
  afterEach(async () => {
    await site.stop();
    proxy.stop();
  });

  const addEngineBehindProxy = async (options: object = {}) => {
    const engine = await site.addEngine('g1', options);
    proxy = new SilentProxy(engine.address);
    await proxy.start();
    engine.address = proxy.address;
    await engine.announce();
    await engine.announce();
    return engine;
  };

  /*
   * A caller's answer stops in the middle and nothing more ever comes: the connection from the
   * entry to the engine went silent. A new connection works; the answer must go on over it, whole.
   */
  it('should take an answer up again when its connection went silent', async () => {
    const engine = await addEngineBehindProxy({ decodeMs: 20 });
    const asked = site.ask(entry, 'long', { tokens: 100, key: 'k' });
    await waitUntil('it has begun', () => engine.dispatched.length === 1);
    proxy.silence();
    expect((await asked).text).toBe(makeExpectedText('long', 100));
    expect(engine.dispatched).toHaveLength(1);
  });

  /*
   * The engine closes the connection again and again in mid-answer. The caller must read each
   * event once, in order.
   */
  it('should deliver every event once when the engine drops its connections', async () => {
    const engine = await addEngineBehindProxy({ decodeMs: 20 });
    engine.model.fault = 'drop';
    const asked = site.ask(entry, 'long', { tokens: 80 });
    await waitUntil('it was dropped', () => proxy.connections >= 4);
    engine.model.fault = 'none';
    expect((await asked).text).toBe(makeExpectedText('long', 80));
    expect(engine.dispatched).toHaveLength(1);
  });

  /*
   * An engine dies with a request that may not run twice. The caller must not read "not run", as
   * nobody can know, and no other engine may get it.
   */
  it('should not claim that a request did not run when its engine died', async () => {
    const engine = await addEngineBehindProxy({ decodeMs: 20 });
    const asked = site.ask(
      entry,
      'issue a room',
      { tokens: 100, key: 'k', headers: { 'beechlift-non-idempotent': 'true' } },
    );
    await waitUntil('it has begun', () => engine.dispatched.length === 1);
    engine.crash();
    proxy.stop();
    const other = await site.addEngine('g2');
    const answer = await asked;
    expect([answer.status, answer.body.error?.name]).toEqual([502, 'backendFailed']);
    expect(answer.body.error?.run).not.toBe('notRun');
    expect(other.dispatched).toHaveLength(0);
  });

  /*
   * An engine announces itself every 200 ms and nothing listens at its address. The other one has
   * one slot and takes a second for each request. No request was sent, so each waits for the other
   * engine; a caller read "not run" when each announcement cost the waiting requests an attempt.
   */
  it('should try another engine when nothing could be sent', async () => {
    const engine = await addEngineBehindProxy({ slots: 50 });
    proxy.stop();
    const other = await site.addEngine('g2', { slots: 1, decodeMs: 50 });
    const answers = await Promise.all(
      Array.from(
        { length: 5 },
        (unused, position) => site.ask(entry, `p${position}`, { key: `k${position}`, tokens: 20, tier: 'history' }),
      ),
    );
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
    expect([engine.dispatched.length, other.dispatched.length]).toEqual([0, 5]);
  });

  /*
   * The connection of an entry to control goes silent for good, while a manifest is accepted. The
   * entry must dial anew, keep its lease, and have the manifest in force within seconds.
   */
  it('should reach control over a fresh connection when its own went silent', async () => {
    const [control] = site.controls as [SiteProcess];
    proxy = new SilentProxy(control.address);
    await proxy.start();
    const proxiedEntry = await site.addEntry('e9', 'az-1', [{ id: 'c1', address: proxy.address, zone: 'az-1' }]);
    await waitUntil('it serves', async () => (await site.readStatus(proxiedEntry)).isServing);
    proxy.silence();
    await site.submit(makeManifest(2));
    await site.waitForVersion(2);
    expect(proxy.connections).toBeGreaterThan(1);
  });

  /*
   * An entry VM is cut off from control, but not from the other entries. It must go on serving on
   * their fresher proof, and take over a new manifest from them.
   */
  it('should live on the proof of its peers when it is cut off from control', async () => {
    const [control] = site.controls as [SiteProcess];
    proxy = new SilentProxy(control.address);
    await proxy.start();
    const isolatedEntry = await site.addEntry('e9', 'az-1', [{ id: 'c1', address: proxy.address, zone: 'az-1' }]);
    await waitUntil('it serves', async () => (await site.readStatus(isolatedEntry)).isServing);
    proxy.setCut(true);
    await site.submit(makeManifest(2));
    await site.waitForVersion(2);
    await waitUntil('control has not heard of it for long', async () => {
      const { members } = await site.readControl();
      return members.every(({ member, silentMs }) => member?.id !== 'e9' || silentMs > 4_000);
    });
    expect((await site.readStatus(isolatedEntry)).isServing).toBe(true);
  });
});
