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
   * The connection from the entry to the engine stops delivering data in the middle of an answer
   * without being closed. A new connection works, so the answer must be completed over it.
   */
  it('should resume an answer when its connection stops delivering data', async () => {
    const engine = await addEngineBehindProxy({ decodeMs: 20 });
    const asked = site.send(entry, 'long', { tokens: 100, key: 'k' });
    await waitUntil('it has begun', () => engine.dispatched.length === 1);
    proxy.dropTraffic();
    expect((await asked).text).toBe(makeExpectedText('long', 100));
    expect(engine.dispatched).toHaveLength(1);
  });

  /*
   * The engine closes the connection repeatedly during an answer. The caller must receive each
   * event once and in order.
   */
  it('should deliver every event once when the engine drops its connections', async () => {
    const engine = await addEngineBehindProxy({ decodeMs: 20 });
    engine.model.fault = 'drop';
    const asked = site.send(entry, 'long', { tokens: 80 });
    await waitUntil('it was dropped', () => proxy.connectionCount >= 4);
    engine.model.fault = 'none';
    expect((await asked).text).toBe(makeExpectedText('long', 80));
    expect(engine.dispatched).toHaveLength(1);
  });

  /*
   * An engine dies while it runs a request that is not idempotent. Its outcome is unknown, so the
   * answer must not be "not run", and no other engine may receive the request.
   */
  it('should not claim that a request did not run when its engine died', async () => {
    const engine = await addEngineBehindProxy({ decodeMs: 20 });
    const asked = site.send(
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
   * An engine announces itself every 200 ms, but nothing listens at its address. The other engine
   * has one slot and takes a second per request. No request was sent, so each must wait for the
   * other engine. If each announcement cost the waiting requests an attempt, they would fail with
   * "not run".
   */
  it('should try another engine when nothing could be sent', async () => {
    const engine = await addEngineBehindProxy({ slots: 50 });
    proxy.stop();
    const other = await site.addEngine('g2', { slots: 1, decodeMs: 50 });
    const answers = await Promise.all(
      Array.from(
        { length: 5 },
        (unused, position) => site.send(entry, `p${position}`, { key: `k${position}`, tokens: 20, tier: 'history' }),
      ),
    );
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
    expect([engine.dispatched.length, other.dispatched.length]).toEqual([0, 5]);
  });

  /*
   * The connection of an entry to control stops delivering data while a manifest is accepted. The
   * entry must reconnect, keep its lease, and have the manifest in force within seconds.
   */
  it('should reconnect to control when its connection stops delivering data', async () => {
    const [control] = site.controls as [SiteProcess];
    proxy = new SilentProxy(control.address);
    await proxy.start();
    const proxiedEntry = await site.addEntry('e9', 'az-1', [{ id: 'c1', address: proxy.address, zone: 'az-1' }]);
    await waitUntil('it serves', async () => (await site.readStatus(proxiedEntry)).isServing);
    proxy.dropTraffic();
    await site.submit(makeManifest(2));
    await site.waitForVersion(2);
    expect(proxy.connectionCount).toBeGreaterThan(1);
  });

  /*
   * An entry VM cannot reach control, but can reach the other entries. It must continue to serve
   * with their proofs, and receive a new manifest from them.
   */
  it('should serve with the proof of its peers when it cannot reach control', async () => {
    const [control] = site.controls as [SiteProcess];
    proxy = new SilentProxy(control.address);
    await proxy.start();
    const isolatedEntry = await site.addEntry('e9', 'az-1', [{ id: 'c1', address: proxy.address, zone: 'az-1' }]);
    await waitUntil('it serves', async () => (await site.readStatus(isolatedEntry)).isServing);
    proxy.setPartitioned(true);
    await site.submit(makeManifest(2));
    await site.waitForVersion(2);
    await waitUntil('control has received no heartbeat for 4 s', async () => {
      const { members } = await site.readControl();
      return members.every(({ member, silentMs }) => member?.id !== 'e9' || silentMs > 4_000);
    });
    expect((await site.readStatus(isolatedEntry)).isServing).toBe(true);
  });
});
