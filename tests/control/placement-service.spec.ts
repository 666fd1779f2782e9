import { describe, expect, it } from 'vitest';
import { PlacementService } from '../../src/control/placementService';
import { PlacementStream } from '../../src/control/placementStream';
import { PlaceRequest, WorkerRecord } from '../../src/protocol/generated/beechlift';
import type { PlaceDecisions } from '../../src/protocol/generated/beechlift';

const makeRequest = (placeId: string, fields: Partial<PlaceRequest> = {}): PlaceRequest => (
  PlaceRequest.fromPartial({
    placeId, entryId: 'e1', service: 'm', account: 'shop', cost: 10, targetMs: 5_000, remainingMs: 20_000, ...fields,
  }));

const settle = () => new Promise((resolve) => {
  setImmediate(resolve);
});

/** A placement service with one engine, and the messages that one entry receives. */
class PlacementRig {
  now = 0;

  readonly unplaced: string[] = [];

  readonly messages: PlaceDecisions[] = [];

  private readonly clock = { now: () => this.now };

  readonly service = new PlacementService({
    clock: this.clock, handleUnplaced: ({ placeId }) => this.unplaced.push(placeId),
  });

  readonly stream = new PlacementStream({
    send: (message) => this.messages.push(message), end: () => undefined,
  }, this.clock);

  constructor(slots: number) {
    this.service.applyRecords([WorkerRecord.fromPartial({
      standing: 'ready',
      said: {
        workerId: 'w1', service: 'm', address: '10.0.0.1:80', zone: 'a', slots, state: 'ready',
      },
    })]);
  }

  get granted(): string[] {
    return this.messages.flatMap(({ replies }) => replies)
      .filter(({ code }) => code === 0).map(({ placeId }) => placeId);
  }
}

const report = (placeId: string, phase: string) => ({
  placeId, phase, paceMs: 0, firstEventMs: 0, outputMs: 0,
});

describe('the placement service', () => {
  it('should send all decisions of one turn of the event loop in one message', async () => {
    const rig = new PlacementRig(4);
    rig.service.requestSlots(['a', 'b', 'c'].map((id) => makeRequest(id)), rig.stream);
    rig.stream.acknowledge(7, true);
    await settle();
    expect(rig.messages).toHaveLength(1);
    expect(rig.messages[0]?.acknowledged).toBe(7);
    expect(rig.granted).toEqual(['a', 'b', 'c']);
  });

  /*
   * Each message of an entry was answered, though four of five only report the progress of running
   * requests. A leader of 79 entries sent a thousand empty messages per second.
   */
  it('should acknowledge at once only messages that request slots', async () => {
    const rig = new PlacementRig(4);
    rig.stream.acknowledge(1, false);
    rig.stream.acknowledge(2, false);
    await settle();
    expect(rig.messages).toHaveLength(0);
    rig.stream.acknowledge(3, true);
    await settle();
    expect(rig.messages.map(({ acknowledged }) => acknowledged)).toEqual([3]);
  });

  it('should grant a free slot to a waiting request without another message of the entry', async () => {
    const rig = new PlacementRig(1);
    rig.service.requestSlots([makeRequest('a'), makeRequest('b')], rig.stream);
    rig.service.applyReports([report('a', 'ended')]);
    await settle();
    expect(rig.granted).toEqual(['a', 'b']);
  });

  /*
   * The process of an entry is killed while requests wait and a grant is not sent yet. The slot
   * stayed in use, and later slots were granted to the missing entry.
   */
  it('should free slots whose grants were not sent when a stream ends', async () => {
    const rig = new PlacementRig(1);
    rig.service.requestSlots([makeRequest('a'), makeRequest('b')], rig.stream);
    rig.service.closeStream(rig.stream);
    expect(rig.service.countRequests()).toEqual({ waiting: 0, placed: 0 });
    expect(rig.unplaced).toEqual(['a', 'b']);
  });

  /*
   * A connection stops working while a grant is in transit. The entry chooses a server itself and
   * opens a new stream. The slot of the lost grant stayed in use until the deadline.
   */
  it('should free slots that an entry does not hold when it opens a new stream', async () => {
    const rig = new PlacementRig(4);
    rig.service.requestSlots(['a', 'b'].map((id) => makeRequest(id)), rig.stream);
    rig.service.requestSlots([makeRequest('other', { entryId: 'e2' })], rig.stream);
    await settle();
    rig.service.releaseUnheld('e1', ['b']);
    expect(rig.service.countRequests().placed).toBe(2);
  });

  /*
   * A connection stops working, and the entry repeats its request over another stream before the
   * leader detects the end of the first. The request was charged twice, and the decision went to
   * the first stream.
   */
  it('should send the decision to the newest stream of a repeated request', async () => {
    const rig = new PlacementRig(1);
    const later: PlaceDecisions[] = [];
    const stream = new PlacementStream(
      { send: (message) => later.push(message), end: () => undefined },
      { now: () => 0 },
    );
    rig.service.requestSlots([makeRequest('a'), makeRequest('b')], rig.stream);
    expect([rig.service.isWaiting('a'), rig.service.isWaiting('b')]).toEqual([false, true]);
    rig.service.requestSlots([makeRequest('b')], stream);
    rig.service.closeStream(rig.stream);
    rig.service.applyReports([report('a', 'ended')]);
    await settle();
    expect(later.flatMap(({ replies }) => replies).map(({ placeId }) => placeId)).toEqual(['b']);
    expect(rig.unplaced).toEqual(['a']);
  });

  // The caller disconnects while its request waits: the next request gets the slot.
  it('should remove and refund requests that the entry dropped', async () => {
    const rig = new PlacementRig(1);
    rig.service.requestSlots(['a', 'b', 'c'].map((id) => makeRequest(id)), rig.stream);
    rig.service.applyReports([report('b', 'dropped')]);
    rig.service.applyReports([report('a', 'ended')]);
    await settle();
    expect(rig.granted).toEqual(['a', 'c']);
    expect(rig.unplaced).toEqual(['b']);
  });

  // Fault: an entry that heard of its slot too late was charged here and for its own choice.
  it.each(['unused', 'unknown'])('should refund a slot that is given back as %s, once', (phase) => {
    const rig = new PlacementRig(2);
    rig.service.requestSlots(['a', 'b'].map((id) => makeRequest(id)), rig.stream);
    rig.service.applyReports([report('a', phase), report('a', phase)]);
    expect(rig.unplaced).toEqual(['a']);
    expect(rig.service.countRequests().placed).toBe(1);
  });

  it.each(['ended', 'failed', 'dropped', 'rejected', 'unreached'])('should not refund a slot that was used and %s', (phase) => {
    const rig = new PlacementRig(2);
    rig.service.requestSlots([makeRequest('a')], rig.stream);
    rig.service.applyReports([report('a', phase)]);
    expect(rig.unplaced).toEqual([]);
  });

  // An entry with waiting requests takes the leader for unavailable after 250 ms without a message.
  it('should send keep-alive messages to an entry with waiting requests', async () => {
    const rig = new PlacementRig(1);
    rig.service.requestSlots([makeRequest('a'), makeRequest('b', { targetMs: 60_000 })], rig.stream);
    await settle();
    const before = rig.messages.length;
    rig.now = 120;
    rig.service.placeWaiting();
    await settle();
    expect(rig.messages).toHaveLength(before + 1);
  });
});
