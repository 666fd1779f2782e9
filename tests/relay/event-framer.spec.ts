import fc from 'fast-check';
import {
  describe, expect, it, vi,
} from 'vitest';
import { EventFramer } from '../../src/relay/eventFramer';

const makeStream = (from: number, to: number): string => (
  Array.from({ length: to - from + 1 }, (unused, position) => `id: ${from + position}\ndata: word ă ${from + position}\n\n`).join('')
);

const cutAt = (bytes: Buffer, cuts: readonly number[]): Buffer[] => {
  const ends = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort((x, y) => x - y);
  const all = [...ends, bytes.length];
  return all.map((end, position) => bytes.subarray(ends[position - 1] ?? 0, end));
};

describe('EventFramer', () => {
  it('should pass all bytes on unchanged, however they are cut', () => {
    fc.assert(fc.property(fc.array(fc.nat()), (cuts) => {
      const bytes = Buffer.from(makeStream(1, 9));
      const framer = new EventFramer();
      const passed = Buffer.concat(cutAt(bytes, cuts).map((piece) => framer.push(piece)));
      expect(passed.equals(bytes)).toBe(true);
      expect([framer.lastEventId, framer.eventCount]).toEqual(['9', 9]);
    }), { seed: 3 });
  });

  // A server crashes at any byte of the stream. The caller must get the whole events before that
  // from it and the others from the server that resumes the stream: none partial, missing or twice.
  it('should let another server resume a stream without a partial event', () => {
    fc.assert(fc.property(fc.nat({ max: 400 }), (length) => {
      const framer = new EventFramer();
      const first = framer.push(Buffer.from(makeStream(1, 9)).subarray(0, length));
      framer.discardPartial();
      const next = Number(framer.lastEventId || 0) + 1;
      const rest = next > 9 ? Buffer.alloc(0) : framer.push(Buffer.from(makeStream(next, 9)));
      expect(Buffer.concat([first, rest]).toString()).toBe(makeStream(1, 9));
    }), { seed: 5 });
  });

  it('should return the bytes after the last event when the answer has ended', () => {
    const framer = new EventFramer();
    framer.push(Buffer.from('id: 1\ndata: x\n\n: done'));
    expect(framer.takeRemainder().toString()).toBe(': done');
    expect(framer.takeRemainder()).toHaveLength(0);
  });

  // Fault: a stream whose lines do not end with LF was held back until its end. It could neither be
  // continued nor be proved complete.
  it.each([
    ['CR LF', '\r\n'], ['CR', '\r'], ['LF', '\n'],
  ])('should find the ends of events whose lines end with %s', (name, lineEnd) => {
    const stream = makeStream(1, 9).replaceAll('\n', lineEnd);
    fc.assert(fc.property(fc.array(fc.nat()), (cuts) => {
      const bytes = Buffer.from(stream);
      const framer = new EventFramer();
      const passed = Buffer.concat(cutAt(bytes, cuts).map((piece) => framer.push(piece)));
      expect(passed.equals(bytes)).toBe(true);
      expect([framer.lastEventId, framer.eventCount]).toEqual(['9', 9]);
      expect(framer.hasRemainder).toBe(false);
    }), { seed: 7 });
  });

  // Guards against an entry that does nothing else as a server sends an event without end, byte by
  // byte: the bytes that were held were joined with each piece and searched again.
  it('should not join what it holds again for each piece of an event', () => {
    const concat = vi.spyOn(Buffer, 'concat');
    const framer = new EventFramer();
    const piece = Buffer.from('x');
    Array.from({ length: 20_000 }, () => framer.push(piece));
    const joined = concat.mock.results
      .reduce((sum, { value }) => sum + (value as Buffer).length, 0);
    concat.mockRestore();
    expect(joined).toBeLessThanOrEqual(8 * 20_000);
    expect(framer.push(Buffer.from('\n\n'))).toHaveLength(20_002);
  });

  // Guards against an entry that runs out of memory as servers send events without end.
  it('should hold a quarter of a mebibyte of an event at most', () => {
    const framer = new EventFramer();
    const piece = Buffer.alloc(1_000, 'x');
    const passed = Array.from({ length: 1_000 }, () => framer.push(piece).length)
      .reduce((sum, length) => sum + length, 0);
    expect(1_000_000 - passed).toBeLessThanOrEqual(262_144);
    expect(framer.canResume).toBe(false);
  });

  // Guards against a stream that seems to end behind an event as the begin of one was passed on.
  it('should be within an event whose begin was passed on because it is too long', () => {
    const framer = new EventFramer();
    framer.push(Buffer.from(`data: ${'x'.repeat(1_100_000)}`));
    expect([framer.hasRemainder, framer.isWithinEvent]).toEqual([false, true]);
    framer.push(Buffer.from('\n\n'));
    expect(framer.isWithinEvent).toBe(false);
  });
});
