import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Manifest } from '../../src/manifest/manifest';
import { applyChanges, computeDigest, diffManifests } from '../../src/manifest/manifestDelta';

const item = fc.record({ weight: fc.nat(), tiers: fc.array(fc.string()) });
const section = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), item);
const manifest = fc.record({
  version: fc.nat(),
  accounts: section,
  pools: section,
  basedOn: fc.option(fc.string(), { nil: undefined }),
}) as unknown as fc.Arbitrary<Manifest>;

describe('changes of a manifest', () => {
  it('should lead from any manifest to any other, and leave the first as it was', () => {
    fc.assert(fc.property(manifest, manifest, (from, to) => {
      const before = computeDigest(from);
      const result = applyChanges(from, diffManifests(from, to));
      return computeDigest(result) === computeDigest(to) && computeDigest(from) === before;
    }), { seed: 4_711 });
  });

  /*
   * A pipeline adds thousands of client accounts at once, and every entry VM stops answering for
   * half a minute: each change copied the whole section. Eight times as many changes may take
   * about eight times as long, and not sixty-four times; the ratio is taken in one run.
   */
  it('should take time in proportion to the changes', () => {
    const makeChanges = (count: number) => Array.from({ length: count }, (unused, position) => ({
      section: 'accounts', name: `a${position}`, value: '{}',
    }));
    const base = { accounts: {} } as unknown as Manifest;
    const measure = (count: number): number => {
      const changes = makeChanges(count);
      const runs = Array.from({ length: 5 }, () => {
        const startedAt = performance.now();
        applyChanges(base, changes);
        return performance.now() - startedAt;
      });
      return Math.min(...runs);
    };
    measure(500);
    expect(measure(4_000) / measure(500)).toBeLessThan(30);
  });
});
