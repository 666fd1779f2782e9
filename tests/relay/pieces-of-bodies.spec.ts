import { PassThrough } from 'node:stream';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { readBody } from '../../src/entry/sending/readBody';
import { BodyReader } from '../../src/bodies/bodyReader';

const PIECE = Buffer.from('x');
const COUNT = 5_000;

/** A body that arrives byte by byte. */
class PiecewiseBody extends PassThrough {
  readonly headers = {};

  readonly socket = new PassThrough();

  /** Ends the body after its pieces, each of which is delivered by itself. */
  deliver(): this {
    Array.from({ length: COUNT }, () => this.emit('data', PIECE));
    this.emit('end');
    return this;
  }
}

// Guards against a process that runs out of memory within its limits on bodies: each piece that was
// kept by itself took a hundred times its length.
describe('a body that arrives byte by byte', () => {
  const concat = vi.spyOn(Buffer, 'concat');

  afterEach(() => concat.mockClear());

  const countPieces = (): number => (
    Math.max(0, ...concat.mock.calls.map(([pieces]) => pieces.length)));

  it('should be held in one piece if it is of a request', async () => {
    const body = new PiecewiseBody();
    const read = new BodyReader(COUNT).read(body as never, new PassThrough() as never, COUNT);
    body.deliver();
    expect(await read).toHaveLength(COUNT);
    expect(countPieces()).toBeLessThanOrEqual(2);
  });

  it('should be held in one piece if it is of an answer', async () => {
    const pieces = (async function* deliver() {
      for (let count = 0; count < COUNT; count += 1) yield PIECE;
    }());
    expect(await readBody(pieces as never, COUNT)).toHaveLength(COUNT);
    expect(countPieces()).toBeLessThanOrEqual(2);
  });
});
