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
  it('should transform any manifest into any other and leave the first unchanged', () => {
    fc.assert(fc.property(manifest, manifest, (from, to) => {
      const before = computeDigest(from);
      const result = applyChanges(from, diffManifests(from, to));
      return computeDigest(result) === computeDigest(to) && computeDigest(from) === before;
    }), { seed: 4_711 });
  });

  /*
   * Guards against quadratic time: each change copied the whole section, so adding thousands of
   * client accounts at once blocked every entry VM for half a minute. Eight times as many changes
   * should take about eight times as long, not sixty-four times. Both are measured in the same run.
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
