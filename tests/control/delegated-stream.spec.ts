import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { DelegatedStream } from '../../src/control/delegatedStream';
import { PlacementDelegate } from '../../src/control/placementDelegate';
import type { PlacementSink } from '../../src/control/placementStream';
import { NO_RESTRICTION } from '../../src/core/quarantine/placementRestriction';
import type { PlacementRestriction } from '../../src/core/quarantine/placementRestriction';
import { NO_TIMINGS } from '../../src/core/routing/placementTables';
import { applyAnnouncement, makeWorkerTable } from '../../src/core/routing/workerTable';
import type { WorkerTable } from '../../src/core/routing/workerTable';
import { resultCodes } from '../../src/errors/resultCodes';
import { PlaceNews, WatchReply, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { PlaceReply, PlaceRequest } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';

const SERVICE = 'rooms';

const settle = () => new Promise((resolve) => {
  setImmediate(resolve);
});

/** A delegate with some servers of a service, one entry, and what reaches the leader. */
class DelegateRig {
  now = 1_000;

  replies: PlaceReply[] = [];

  /** Messages that reached the leader, of all streams of the entry. */
  readonly upstream: PlaceNews[] = [];

  leaderSinks: PlacementSink[] = [];

  ended = 0;

  readonly restrictions = new Map<string, PlacementRestriction>();

  readonly table: WorkerTable = makeWorkerTable('t');

  private readonly clock = { now: () => this.now };

  readonly delegate = new PlacementDelegate({
    replicaId: 'r1',
    readTable: () => this.table,
    findRestriction: (fingerprint) => this.restrictions.get(fingerprint) ?? NO_RESTRICTION,
    clock: this.clock,
    logger: makeLogger('test', 'silent'),
  });

  readonly stream: DelegatedStream;

  private lastNumber = 0;

  constructor(ownIds: readonly string[], slots = 1) {
    this.announce('w1', slots);
    this.announce('w2', slots);
    this.delegate.applyReply(WatchReply.fromPartial({ delegate: { workerIds: [...ownIds] } }));
    this.stream = this.open();
  }

  announce(workerId: string, slots: number, software = 'v1'): void {
    applyAnnouncement(this.table, WorkerAnnouncement.fromPartial({
      workerId, service: SERVICE, address: `${workerId}:80`, slots, state: 'ready', sequence: 1, software,
    }), this.now);
  }

  open(): DelegatedStream {
    return new DelegatedStream({
      delegate: this.delegate,
      sink: {
        send: ({ replies }) => this.replies.push(...replies),
        end: () => {
          this.ended += 1;
        },
      },
      openUpstream: (sink) => {
        this.leaderSinks.push(sink);
        return { take: (message) => this.upstream.push(message), close: () => undefined };
      },
      clock: this.clock,
    });
  }

  async send(news: Partial<PlaceNews>, stream = this.stream): Promise<void> {
    this.lastNumber += 1;
    const entryId = this.lastNumber === 1 ? 'e1' : '';
    stream.take(PlaceNews.fromPartial({ number: this.lastNumber, entryId, ...news }));
    await settle();
  }

  ask(placeId: string, fields: Partial<PlaceRequest> = {}): Promise<void> {
    return this.send({
      requests: [{
        ...PlaceNews.fromPartial({ requests: [{}] }).requests[0] as PlaceRequest, placeId, entryId: 'e1', service: SERVICE, targetMs: 5_000, remainingMs: 20_000, ...fields,
      }],
    });
  }

  async advance(ms: number): Promise<void> {
    this.now += ms;
    this.delegate.tick();
    await settle();
  }

  get granted(): string[] {
    return this.replies.filter(({ workerId }) => workerId !== '').map(({ placeId }) => placeId);
  }

  get undecided(): string[] {
    return this.replies.filter(({ undecided }) => undecided).map(({ placeId }) => placeId);
  }

  get asked(): string[] {
    return this.upstream.flatMap(({ requests }) => requests).map(({ placeId }) => placeId);
  }
}

describe('the placement stream of an entry at a delegate of the leader', () => {
  let rig: DelegateRig;

  beforeEach(async () => {
    rig = new DelegateRig(['w1']);
    await rig.send({});
  });

  it('should grant the slots of lent servers, and no others', async () => {
    await rig.ask('a');
    await rig.ask('b');
    expect(rig.replies).toMatchObject([{ placeId: 'a', workerId: 'w1', delegated: true }]);
    expect(rig.asked).toEqual([]);
    await rig.send({ reports: [{ placeId: 'a', phase: 'ended', ...NO_TIMINGS }] });
    expect(rig.granted).toEqual(['a', 'b']);
  });

  it.each<[string, Partial<PlaceRequest>]>([
    ['of a service without lent servers', { service: 'other' }],
    ['that continues a stream', { origin: { service: SERVICE, software: 'v1' } }],
    ['that takes a stream up', { takesUp: true, resumedId: 'x' }],
    ['that is a suspect', { fingerprint: 'bad' }],
  ])('should pass a request on to the leader: one %s', async (unused, fields) => {
    rig.restrictions.set('bad', { kind: 'alone', refusedMs: 0 });
    await rig.ask('a', fields);
    expect([rig.asked, rig.granted]).toEqual([['a'], []]);
  });

  it('should pass on streams that can be taken up while a service has several versions', async () => {
    await rig.ask('a', { requestId: 'caller-1' });
    rig.announce('w3', 1, 'v2');
    await rig.ask('b', { requestId: 'caller-2' });
    expect([rig.granted, rig.asked]).toEqual([['a'], ['b']]);
  });

  // A request that had crashed one server was granted the next one before the leader knew.
  it('should pass a request on under which a server has just crashed', async () => {
    await rig.send({
      sightings: [{
        fingerprint: 'f', workerId: 'w9', born: 0, ageMs: 0,
      }],
    });
    await rig.ask('a', { fingerprint: 'f' });
    expect([rig.asked, rig.granted]).toEqual([['a'], []]);
    expect(rig.upstream.flatMap(({ sightings }) => sightings)).toHaveLength(1);
  });

  // One request that only the leader decides on held up all others of its entry while it was late.
  it('should leave to the entry what a late leader does not answer, and go on itself', async () => {
    await rig.ask('a', { takesUp: true, resumedId: 'x' });
    await rig.ask('b');
    await rig.advance(250);
    expect([rig.undecided, rig.granted]).toEqual([['a'], ['b']]);
    await rig.ask('c', { takesUp: true, resumedId: 'y' });
    expect(rig.undecided).toEqual(['a', 'c']);
    expect(rig.asked).toEqual(['a']);
    await rig.advance(500);
    await rig.ask('d', { takesUp: true, resumedId: 'z' });
    expect(rig.asked).toEqual(['a', 'd']);
  });

  it('should go on while the leader cannot be reached, and reach it again', async () => {
    await rig.ask('a', { takesUp: true, resumedId: 'x' });
    rig.leaderSinks[0]?.end('leaderLost');
    await rig.ask('b');
    expect([rig.ended, rig.undecided, rig.granted]).toEqual([0, ['a'], ['b']]);
    await rig.advance(500);
    await rig.ask('c', { takesUp: true, resumedId: 'y' });
    expect(rig.upstream.at(-1)).toMatchObject({ entryId: 'e1', requests: [{ placeId: 'c' }] });
  });

  // The leader ends a stream if it knows a newer one of the entry: messages of the older one would
  // place requests that the entry has placed since.
  it('should end with the stream that the leader ended', () => {
    rig.leaderSinks[0]?.end();
    expect(rig.ended).toBe(1);
  });

  it('should give up its servers once no leader has been heard for ten seconds', async () => {
    rig.now += 10_000;
    await rig.ask('a');
    expect([rig.asked, rig.granted]).toEqual([['a'], []]);
  });

  it('should refuse a request whose account has used up its limit', async () => {
    rig.delegate.applyReply(WatchReply.fromPartial({
      delegate: { workerIds: ['w1'] },
      grants: [{
        account: 'shop', units: 0, isExceeded: true, perSecond: 10,
      }],
    }));
    await rig.ask('a', { account: 'shop', cost: 10 });
    expect(rig.replies).toMatchObject([{ placeId: 'a', code: resultCodes.accountLimited.number }]);
  });

  it('should leave a request to its entry whose account is within its limit', async () => {
    rig.delegate.applyReply(WatchReply.fromPartial({
      delegate: { workerIds: ['w1'] },
      grants: [{
        account: 'shop', units: 0, left: 500, perSecond: 10,
      }],
    }));
    await rig.ask('a', { account: 'shop', cost: 10 });
    expect(rig.undecided).toEqual(['a']);
  });

  it('should keep the slots of an entry that opens another stream, and free them if none comes', async () => {
    await rig.ask('a');
    rig.stream.close();
    const next = rig.open();
    next.take(PlaceNews.fromPartial({ number: 1, entryId: 'e1', held: ['a'] }));
    await rig.advance(2_500);
    expect(rig.delegate.countRequests().placed).toBe(1);
    next.close();
    await rig.advance(1_500);
    expect(rig.delegate.countRequests().placed).toBe(1);
    await rig.advance(1_000);
    expect(rig.delegate.countRequests().placed).toBe(0);
  });

  it('should grant a slot to the highest rank that waits', async () => {
    await rig.ask('a');
    await rig.ask('low', { rank: 2 });
    await rig.ask('high', { rank: 0 });
    await rig.send({ reports: [{ placeId: 'a', phase: 'ended', ...NO_TIMINGS }] });
    expect(rig.granted).toEqual(['a', 'high']);
  });
});
