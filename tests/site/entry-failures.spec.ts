import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { makeExpectedText } from '../fakes/engineModel';
import { TestSite, waitUntil } from '../fakes/testSite';
import type { SiteProcess } from '../fakes/testSite';

describe('entries under failure', () => {
  let site: TestSite;
  let first: SiteProcess;
  let second: SiteProcess;

  beforeEach(async () => {
    site = new TestSite();
    await site.start(3, 3);
    [first, second] = site.entries as [SiteProcess, SiteProcess, SiteProcess];
  });
  afterEach(() => site.stop());

  const countDispatched = () => (
    site.engines.reduce((sum, { dispatched }) => sum + dispatched.length, 0));

  /*
   * An entry VM dies in the middle of an answer. The caller sends the same key to its next address.
   * It must receive the whole answer, and the request must not run a second time.
   */
  it('should give the whole answer through another entry after one died, and run it once', async () => {
    await site.addEngine('g1', { decodeMs: 10 });
    const options = {
      key: 'room-17', tokens: 120, headers: { 'beechlift-non-idempotent': 'true' },
    };
    const lost = site.send(first, 'issue a room', options).catch(() => undefined);
    await waitUntil('the engine has begun', () => countDispatched() === 1);
    await site.kill(first);
    const answer = await site.send(second, 'issue a room', options);
    expect([answer.status, answer.text]).toEqual([200, makeExpectedText('issue a room', 120)]);
    expect(countDispatched()).toBe(1);
    await lost;
    const replayed = await site.send(second, 'issue a room', options);
    expect(replayed.text).toBe(answer.text);
    expect(countDispatched()).toBe(1);
  });

  /*
   * An entry VM is paused while a request waits for a slot. The caller sends it again through
   * another entry, which runs it. When the first entry resumes and is granted its slot, it must not
   * dispatch the request again.
   */
  it('should send nothing when it wakes after its claim was taken over', async () => {
    const engine = await site.addEngine('g1', { slots: 1, decodeMs: 10 });
    const blocker = site.send(second, 'blocker', { tokens: 150 });
    await waitUntil('the slot is taken', () => engine.dispatched.length === 1);
    const paused = site.send(
      first,
      'issue a room',
      { key: 'room-18', tokens: 8 },
    ).catch(() => undefined);
    const waits = waitUntil('the request waits', async () => {
      const all = await Promise.all(site.entries.map((entry) => site.readStatus(entry)));
      return all.flatMap(({ owned }) => owned).some(({ waiting }) => waiting === 1);
    });
    // If the answer arrives first, its body shows why the request never waited.
    expect(await Promise.race([waits, paused.then((answer) => answer?.body ?? 'no answer')]))
      .toBeUndefined();
    site.freeze(first, true);
    const answer = await site.send(second, 'issue a room', { key: 'room-18', tokens: 8 });
    expect(answer.text).toBe(makeExpectedText('issue a room', 8));
    site.freeze(first, false);
    const late = await paused;
    expect(late === undefined || late.status !== 200 || late.text === answer.text).toBe(true);
    await blocker;
    expect(engine.dispatched).toHaveLength(2);
  });

  /*
   * A caller sends the same key to several entry VMs at the same moment, because its first attempt
   * seemed lost. The request must run once, and no caller may receive the answer of another key.
   */
  it('should run a key once when it comes to all entries at once', async () => {
    await site.addEngine('g1');
    const asks = Array.from({ length: 8 }, (unused, key) => site.entries.map((entry) => (
      site.send(entry, `prompt ${key}`, { key: `k${key}`, tokens: 12 })))).flat();
    const answers = await Promise.all(asks);
    expect(countDispatched()).toBe(8);
    const whole = answers.filter(({ status }) => status === 200);
    expect(whole.length).toBeGreaterThanOrEqual(8);
    answers.forEach(({ status, text, body }, position) => {
      const own = makeExpectedText(`prompt ${Math.floor(position / 3)}`, 12);
      expect(status === 200 ? text : body.error?.name).toSatisfy(
        (value: string) => [own, 'superseded', 'claimUnavailable'].includes(value),
      );
    });
  });

  /*
   * The caller sends the request again through another entry VM while the first dispatch has not
   * arrived at the engine yet. If the resend blocked the stream there, both attempts would fail
   * without any fault.
   */
  it('should not treat a dispatch that is still in flight as lost', async () => {
    const engine = await site.addEngine('g1', { arriveMs: 700 });
    const asked = site.send(first, 'late', { key: 'k', tokens: 12 });
    await waitUntil('the dispatch is in flight', () => engine.receivedIds.size === 1);
    const again = await site.send(second, 'late', { key: 'k', tokens: 12 });
    expect([(await asked).text, again.text]).toEqual(Array(2).fill(makeExpectedText('late', 12)));
    expect(countDispatched()).toBe(1);
  });

  /*
   * The owner of the pool dies under load. Requests that wait at other entries must neither hang
   * until their callers time out, nor be refused while slots are free.
   */
  it('should go on with a new owner when the owner of a pool dies', async () => {
    await site.addEngine('g1', { slots: 4 });
    const owner = await site.findOwner();
    const others = site.entries.filter((entry) => entry !== owner);
    const asks = Array.from({ length: 24 }, (unused, position) => (
      site.send(
        others[position % 2] as SiteProcess,
        `prompt ${position}`,
        { tokens: 30, key: `o${position}` },
      )));
    await waitUntil('some have begun', () => countDispatched() >= 2);
    await site.kill(owner);
    const answers = await Promise.all(asks);
    expect(answers.map(({ text }) => text))
      .toEqual(answers.map((unused, position) => makeExpectedText(`prompt ${position}`, 30)));
    expect(countDispatched()).toBe(24);
  });

  /*
   * An entry VM is shut down for an update while answers are open, and while other callers still
   * use it because of a cached locate answer. None of these answers may be aborted.
   */
  it('should abort no answer when it is shut down', async () => {
    await site.addEngine('g1', { decodeMs: 10 });
    const running = Array.from(
      { length: 4 },
      (unused, position) => site.send(first, `long ${position}`, { tokens: 150 }),
    );
    await waitUntil('all have begun', () => countDispatched() === 4);
    const ended = site.kill(first, 'SIGTERM');
    const answers = await Promise.all(running);
    expect(answers.map(({ text }) => text))
      .toEqual(answers.map((unused, position) => makeExpectedText(`long ${position}`, 150)));
    await ended;
    expect(first.child.exitCode).toBe(0);
    expect(
      (await site.readControl()).members.some(
        ({ member }) => member?.id === first.id && member.state === 'active',
      ),
    ).toBe(false);
  });

  /*
   * An engine announces to one entry that it is leaving. All entries must stop sending to it, and
   * the requests that it runs must be completed.
   */
  it('should send nothing new to a backend server that leaves', async () => {
    const leaving = await site.addEngine('g1', { decodeMs: 10 });
    const running = site.send(first, 'long', { tokens: 150 });
    await waitUntil('it has begun', () => leaving.dispatched.length === 1);
    const staying = await site.addEngine('g2');
    leaving.state = 'leaving';
    await leaving.announce();
    const answers = await Promise.all(
      site.entries.flatMap((entry) => Array.from({ length: 5 }, () => site.send(entry, 'short'))),
    );
    expect(answers.every(({ status }) => status === 200)).toBe(true);
    expect([leaving.dispatched.length, staying.dispatched.length]).toEqual([1, 15]);
    expect((await running).text).toBe(makeExpectedText('long', 150));
  });
});
