import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Manifest } from '../../src/manifest/manifest';
import { applyChanges, computeDigest, diffManifests } from '../../src/manifest/manifestDelta';

const section = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), fc.record({ weight: fc.nat(), tiers: fc.array(fc.string()) }));
const manifest = fc.record({
  version: fc.nat(), accounts: section, pools: section, basedOn: fc.option(fc.string(), { nil: undefined }),
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
   * minutes: each change copied the whole section. Counted here is how often a section is copied.
   */
  it('should copy a section once, however many of its items change', () => {
    let reads = 0;
    const accounts = new Proxy({}, {
      ownKeys: () => {
        reads += 1;
        return [];
      },
    });
    const changes = Array.from({ length: 1_000 }, (unused, position) => ({ section: 'accounts', name: `a${position}`, value: '{}' }));
    const result = applyChanges({ accounts } as unknown as Manifest, changes);
    expect(Object.keys(result.accounts)).toHaveLength(1_000);
    expect(reads).toBe(1);
  });
});
