import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { BlockPool } from '../../src/bodies/blockPool';
import { BodyCollector } from '../../src/bodies/bodyCollector';

const drawPieces = fc.array(fc.uint8Array({ maxLength: 12_000 }), { maxLength: 12 });

describe('the collected pieces of a body', () => {
  it('should be its bytes, whatever the pieces are', () => {
    const pool = new BlockPool();
    fc.assert(fc.property(drawPieces, (drawn) => {
      const pieces = drawn.map((piece) => Buffer.from(piece));
      const collector = new BodyCollector(pool);
      pieces.forEach((piece) => collector.add(piece));
      const whole = Buffer.concat(pieces);
      expect(collector.length).toBe(whole.length);
      expect(collector.take().equals(whole)).toBe(true);
    }));
  });

  it('should take no more memory than was measured before', () => {
    fc.assert(fc.property(drawPieces, (pieces) => {
      const collector = new BodyCollector(new BlockPool());
      const measured = pieces.reduce((sum, piece) => {
        const growth = collector.measureGrowth(piece.length);
        collector.add(Buffer.from(piece));
        return sum + growth;
      }, 0);
      expect(measured).toBeGreaterThanOrEqual(collector.length);
    }));
  });
});
