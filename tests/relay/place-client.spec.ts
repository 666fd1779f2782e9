import { setImmediate as immediate, setTimeout as pause } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { NO_TIMINGS } from '../../src/core/routing/placementTables';
import { PlaceRequest } from '../../src/protocol/generated/beechlift';
import type { PlaceNews } from '../../src/protocol/generated/beechlift';
import { PlaceClient } from '../../src/relay/placeClient';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import { grantAll, ScriptedLeader } from '../fakes/scriptedLeader';

const makeClient = (
  findLeader: () => ScriptedLeader,
  entries = 8,
  handleSilence?: (since: number) => void,
): PlaceClient => new PlaceClient({
  entryId: 'e1',
  findLeader: () => findLeader().link,
  countEntries: () => entries,
  handleSilence,
  clock: systemClock,
  logger: makeLogger('test', 'silent'),
});

const makeRequest = (placeId: string): PlaceRequest => PlaceRequest.fromPartial({ placeId });

const findDeadline = () => systemClock.now() + 10_000;

describe('PlaceClient', () => {
  /*
   * Fault: after a restart of the whole site, the new leader received a hundred waiting requests at
   * once, each as a separate call, and needed longer for them than the timeout of an entry.
   */
  it('should send requests of the same moment in one message and return each its own reply', async () => {
    const leader = new ScriptedLeader(grantAll);
    const client = makeClient(() => leader);
    const ids = Array.from({ length: 20 }, (unused, count) => `p${count}`);
    const replies = await Promise.all(
      ids.map((id) => client.place(makeRequest(id), findDeadline())),
    );
    expect(leader.requestedIds).toEqual([ids]);
    expect(replies.map((reply) => reply?.workerId)).toEqual(ids.map((id) => `for-${id}`));
  });

  /*
   * Fault: in a burst, each decision was followed by a call that repeated all waiting requests. The
   * leader was overloaded and answered late, and entries chose engines that were full.
   */
  it('should send a waiting request once, however many others are decided meanwhile', async () => {
    const leader = new ScriptedLeader(({ number, requests }, self) => {
      self.sendReply(number, requests.map(({ placeId }) => placeId).filter((id) => id !== 'b'));
    });
    const client = makeClient(() => leader);
    const waiting = client.place(makeRequest('b'), findDeadline());
    const others = ['a', 'c', 'd'].map((id) => client.place(makeRequest(id), findDeadline()));
    await Promise.all(others);
    await client.place(makeRequest('e'), findDeadline());
    leader.sendReply(leader.received.length, ['b']);
    expect((await waiting)?.workerId).toBe('for-b');
    expect(leader.requestedIds.flat().filter((id) => id === 'b')).toHaveLength(1);
  });

  it('should let the entry choose when the leader does not answer', async () => {
    const leader = new ScriptedLeader(() => undefined);
    const client = makeClient(() => leader);
    const from = systemClock.now();
    const replies = await Promise.all(['a', 'b'].map((id) => client.place(makeRequest(id), findDeadline())));
    expect(replies).toEqual([undefined, undefined]);
    expect(systemClock.now() - from).toBeLessThan(1_000);
    expect(await client.place(makeRequest('c'), findDeadline())).toBeUndefined();
    expect(leader.received).toHaveLength(1);
  });

  // Fault: entries gave up their streams to a slow leader and opened new ones. It spent its
  // processor time on these, became slower, and entries placed nearly all requests themselves.
  it('should keep its stream to a leader that replies late, and release the late slots', async () => {
    const leader = new ScriptedLeader(({ number, requests }, self) => {
      const granted = requests.map(({ placeId }) => placeId);
      setTimeout(() => self.sendReply(number, granted), 600);
    });
    const client = makeClient(() => leader);
    expect(await client.place(makeRequest('a'), findDeadline())).toBeUndefined();
    await pause(400);
    expect(await client.place(makeRequest('b'), findDeadline())).toBeUndefined();
    await pause(400);
    expect(leader.streamCount).toBe(1);
    expect(leader.requestedIds.flat()).toEqual(['a', 'b']);
    const unused = leader.received.flatMap(({ reports }) => reports).filter(({ phase }) => phase === 'unused');
    expect(unused.map(({ placeId }) => placeId)).toEqual(expect.arrayContaining(['a', 'b']));
  });

  // A full leader was asked, and its late slots were given back, several times a second by every
  // entry. It never caught up, and most requests waited for it in vain before they were sent.
  it('should ask a leader that stays late ever less often', async () => {
    const leader = new ScriptedLeader(({ number, requests }, self) => {
      const granted = requests.map(({ placeId }) => placeId);
      setTimeout(() => self.sendReply(number, granted), 600);
    });
    const client = makeClient(() => leader);
    const ids = Array.from({ length: 30 }, (unused, count) => `p${count}`);
    await ids.reduce(async (before, id) => {
      await before;
      client.place(makeRequest(id), findDeadline()).catch(() => undefined);
      await pause(200);
    }, Promise.resolve());
    const askedCount = leader.requestedIds.flat().length;
    // In six seconds it is asked before each of four pauses and after the first one ends early, for
    // 375 ms at most: two requests each time.
    expect(askedCount).toBeLessThanOrEqual(10);
    client.close();
  });

  // Fault: a connection that carries nothing any more was used for good.
  it('should open another stream to a leader that stays silent', async () => {
    const leader = new ScriptedLeader(() => undefined);
    const client = makeClient(() => leader);
    await client.place(makeRequest('a'), findDeadline());
    await pause(1_300);
    await client.place(makeRequest('b'), findDeadline());
    expect(leader.streamCount).toBe(2);
  });

  // The leader acknowledged the requests and froze: without a timeout the entry would wait for it.
  it('should let the entry choose when the leader stops answering while requests wait', async () => {
    const leader = new ScriptedLeader(({ number }, self) => self.sendReply(number));
    const client = makeClient(() => leader);
    expect(await client.place(makeRequest('a'), findDeadline())).toBeUndefined();
  });

  /*
   * Fault: the leader of a site with 79 entries spent half of its processor time on their messages.
   * Most of them reported the pace of running streams, four times a second for each entry.
   */
  it('should report the pace of streams less often, the more entries use the same leader', async () => {
    const countMessages = async (entries: number): Promise<number> => {
      const leader = new ScriptedLeader(grantAll);
      const client = makeClient(() => leader, entries);
      await client.place(makeRequest('a'), findDeadline());
      await Array.from({ length: 16 }).reduce<Promise<void>>(async (before) => {
        await before;
        client.report({
          placeId: 'a', phase: 'running', paceMs: 20, firstEventMs: 0, outputMs: 0,
        });
        await pause(50);
      }, Promise.resolve());
      client.report({
        placeId: 'a', phase: 'ended', paceMs: 0, firstEventMs: 90, outputMs: 800,
      });
      await pause(10);
      expect(leader.received.flatMap(({ reports }) => reports)).toHaveLength(17);
      return leader.received.length;
    };
    const [few, many] = await Promise.all([countMessages(8), countMessages(200)]);
    // The request and its end, and about four messages a second, or one, in between.
    expect(few).toBeGreaterThanOrEqual(4);
    expect(many).toBeLessThanOrEqual(3);
  });

  // Guards against streams whose version is unknown, as their entry was killed before its next
  // message to the leader.
  it('should report the begin of a stream that can be taken up at once', async () => {
    const leader = new ScriptedLeader(grantAll);
    const client = makeClient(() => leader);
    await client.place(makeRequest('a'), findDeadline());
    client.recordStream({ ids: ['9c41'], origin: { service: 'rooms', software: 'v1' }, deadlineAt: findDeadline() }, 'a');
    client.report({ placeId: 'a', phase: 'running', ...NO_TIMINGS });
    await immediate();
    expect(leader.received.at(-1)?.reports.map(({ phase }) => phase)).toEqual(['running']);
  });

  it('should wait as long as the leader sends messages', async () => {
    const leader = new ScriptedLeader(({ number }, self) => self.sendReply(number));
    const client = makeClient(() => leader);
    const waiting = client.place(makeRequest('a'), findDeadline());
    await [1, 2, 3, 4, 5].reduce(async (before) => {
      await before;
      await pause(100);
      leader.sendReply(1);
    }, Promise.resolve());
    leader.sendReply(1, ['a']);
    expect((await waiting)?.workerId).toBe('for-a');
  });

  // The leader sends decisions for unknown requests, wrong acknowledgements and duplicates.
  it('should ignore decisions that match no request and still receive its own', async () => {
    const leader = new ScriptedLeader(({ number }, self) => {
      self.sendReply(number + 7, ['unknown', '', '__proto__']);
      self.sendReply(-1);
      self.sendReply(number, ['p1', 'p1']);
    });
    const client = makeClient(() => leader);
    const reply = await client.place(makeRequest('p1'), findDeadline());
    expect(reply?.workerId).toBe('for-p1');
    client.close();
    leader.sendReply(9, ['p1']);
    leader.end();
  });

  /*
   * Fault: the leader's reply was in flight when the entry chose a server by itself. The slot
   * stayed taken until the request's deadline, and other requests were refused because of it.
   */
  it('should release a slot that is granted after the request was cancelled', async () => {
    const leader = new ScriptedLeader(({ number }, self) => self.sendReply(number));
    const client = makeClient(() => leader);
    const asked = client.place(makeRequest('a'), findDeadline());
    await pause(10);
    client.cancel('a');
    expect(await asked).toBeUndefined();
    leader.sendReply(1, ['a']);
    await pause(10);
    const phases = leader.received.flatMap(({ reports }) => reports).map(({ placeId, phase }) => `${placeId} ${phase}`);
    expect(new Set(phases)).toEqual(new Set(['a unused']));
  });

  /*
   * Fault: after a change of leaders, waiting requests were not sent to the new leader, and slots
   * in use counted as free there.
   */
  it('should send waiting requests and the slots in use to the next leader', async () => {
    const first = new ScriptedLeader(({ number, requests }, self) => {
      self.sendReply(number, requests.map(({ placeId }) => placeId).filter((id) => id !== 'b'));
    });
    const second = new ScriptedLeader(grantAll);
    let leader = first;
    const client = makeClient(() => leader);
    await client.place(makeRequest('a'), findDeadline());
    const waiting = client.place(makeRequest('b'), findDeadline());
    await pause(10);
    leader = second;
    await client.place(makeRequest('c'), findDeadline());
    expect((await waiting)?.workerId).toBe('for-b');
    expect(second.received[0]).toMatchObject({ entryId: 'e1', held: ['a'] });
  });

  // After a change of leaders, entries chose engines by themselves for seconds, on old loads: the
  // leader before had been late.
  it('should ask the next leader at once, however late the one before was', async () => {
    const late = new ScriptedLeader(({ number, requests }, self) => {
      const granted = requests.map(({ placeId }) => placeId);
      setTimeout(() => self.sendReply(number, granted), 600);
    });
    const next = new ScriptedLeader(grantAll);
    let leader = late;
    const client = makeClient(() => leader);
    const ids = Array.from({ length: 12 }, (unused, count) => `p${count}`);
    await ids.reduce(async (before, id) => {
      await before;
      client.place(makeRequest(id), findDeadline()).catch(() => undefined);
      await pause(200);
    }, Promise.resolve());
    expect(await client.place(makeRequest('during'), findDeadline())).toBeUndefined();
    leader = next;
    const reply = await client.place(makeRequest('after'), findDeadline());
    client.close();
    expect(reply?.workerId).toBe('for-after');
  });

  it('should let the entry choose at once when the leader ends the stream', async () => {
    const leader = new ScriptedLeader(({ number }, self) => self.sendReply(number));
    const client = makeClient(() => leader);
    const asked = client.place(makeRequest('a'), findDeadline());
    await pause(10);
    leader.end();
    expect(await asked).toBeUndefined();
  });

  // A crash that only the lost leader knew of must be reported to the next one.
  /*
   * Fault: each entry overdrew its grants by a request of any size while no leader answered. What
   * is placed without the leader is charged as soon as the request is released, so the silence must
   * be known by then.
   */
  it.each([
    ['does not answer', () => undefined],
    ['ends the stream', (message: PlaceNews, leader: ScriptedLeader) => leader.end()],
  ])('should tell that the leader is silent before requests are released: it %s', async (name, script) => {
    const leader = new ScriptedLeader(script);
    const events: string[] = [];
    const askedAt = systemClock.now();
    let silentSince = Infinity;
    const client = makeClient(() => leader, 8, (since) => {
      events.push('silent');
      silentSince = since;
    });
    await client.place(makeRequest('a'), findDeadline()).then(() => events.push('released'));
    expect(events).toEqual(['silent', 'released']);
    expect(silentSince).toBeLessThan(askedAt + 100);
  });

  it('should report crashes once to each leader, except those of a request that was served later', async () => {
    const leaders = [new ScriptedLeader(grantAll), new ScriptedLeader(grantAll)];
    let position = 0;
    const client = makeClient(() => leaders[position] as ScriptedLeader);
    const end = { workerId: 'w1', born: 0 };
    client.reportCrash({ fingerprint: 'a', ...end });
    client.reportCrash({ fingerprint: 'b', ...end });
    await pause(20);
    client.reportServed('b');
    await client.place(makeRequest('p1'), findDeadline());
    position = 1;
    await client.place(makeRequest('p2'), findDeadline());
    const reported = leaders.map(({ received }) => received.flatMap(({ sightings }) => (
      sightings.map(({ fingerprint }) => fingerprint))));
    expect(reported).toEqual([['a', 'b'], ['a']]);
    expect(leaders[0]?.received.flatMap(({ served }) => served)).toEqual(['b']);
  });

  // A replica that did not reach the leader ended the streams of its entries once a second, and
  // they came back to it each time.
  it('should use another replica once a stream that one passed on has ended', async () => {
    const leader = new ScriptedLeader(grantAll);
    const hubs = [new ScriptedLeader(grantAll), new ScriptedLeader(grantAll)];
    let position = 0;
    const client = new PlaceClient({
      entryId: 'e1',
      findLeader: () => leader.link,
      findHub: () => hubs[position]?.link,
      changeHub: () => {
        position = 1;
      },
      countEntries: () => 78,
      clock: systemClock,
      logger: makeLogger('test', 'silent'),
    });
    await client.place(makeRequest('a'), findDeadline());
    hubs[0]?.end();
    await pause(500);
    await client.place(makeRequest('b'), findDeadline());
    client.close();
    expect(hubs.map(({ requestedIds }) => requestedIds.flat())).toEqual([['a'], ['b']]);
    expect(leader.received).toEqual([]);
  });
});
