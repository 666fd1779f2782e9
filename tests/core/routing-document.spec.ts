import { describe, expect, it } from 'vitest';
import { RouteTable, pickTarget } from '../../src/core/routing/routeTable';
import { applyDocument, NO_DOCUMENT } from '../../src/core/routing/siteDocument';
import { checkRouting } from '../../src/manifest/checkRouting';
import { makeAccount, makeRoute, makeRouting } from '../fakes/routings';

describe('route table', () => {
  const routing = makeRouting({
    routes: [
      makeRoute({ name: 'all', pathPrefix: '/' }),
      makeRoute({ name: 'orders', pathPrefix: '/orders/' }),
      makeRoute({ name: 'old', pathPrefix: '/orders/old/' }),
      makeRoute({ name: 'other', host: 'Other.example', pathPrefix: '/orders/' }),
    ],
  });
  const table = new RouteTable(routing);

  it.each([
    ['shop.example', '/orders/7', 'orders'],
    ['shop.example', '/orders/old/7?x=/orders/', 'old'],
    ['SHOP.example:8080', '/orders', 'all'],
    ['other.example', '/orders/', 'other'],
    ['shop.example', '/orders/oldest', 'orders'],
  ])('should route %s%s to the longest prefix', (host, target, name) => {
    expect(table.findRoute(host, target)?.name).toBe(name);
  });

  it.each([
    ['other.example', '/orders'],
    ['nobody.example', '/'],
    ['', '/'],
  ])('should find no route for %s%s', (host, target) => {
    expect(table.findRoute(host, target)).toBeUndefined();
  });

  it('should rank by route when all accounts have the same rank', () => {
    const account = makeAccount({ rank: 1 });
    const ranked = new RouteTable(makeRouting({ accounts: [account, makeAccount({ name: 'b', rank: 1, keys: ['kb'] })] }));
    const ranks = [0, 1, 2].map((rank) => ranked.computeRank(makeRoute({ rank }), account));
    expect(ranks).toEqual([0, 1, 2]);
  });

  it('should rank all requests of a lower account behind all of a higher one', () => {
    const high = makeAccount({ rank: 0 });
    const low = makeAccount({ name: 'b', rank: 1, keys: ['kb'] });
    const ranked = new RouteTable(makeRouting({
      routes: [makeRoute({ rank: 0 }), makeRoute({ name: 'late', pathPrefix: '/late/', rank: 2 })], accounts: [high, low],
    }));
    const lastOfHigh = ranked.computeRank(makeRoute({ rank: 2 }), high);
    expect(ranked.computeRank(makeRoute({ rank: 0 }), low)).toBeGreaterThan(lastOfHigh);
  });

  it('should split by weight', () => {
    const targets = [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }, { service: 'c', weight: 0 }];
    const picked = Array.from({ length: 100 }, (unused, draw) => pickTarget(targets, draw / 100));
    expect(picked.filter((service) => service === 'a')).toHaveLength(90);
    expect(picked.filter((service) => service === 'c')).toHaveLength(0);
  });
});

describe('check of a routing document', () => {
  it('should report all faults at once', () => {
    const faults = checkRouting(makeRouting({
      routes: [
        makeRoute({ name: 'a', targets: [{ service: 'nobody', weight: 1 }] }),
        makeRoute({ name: 'b', timeoutMs: 0 }),
        makeRoute({ name: 'c', pathPrefix: '/c/', targets: [{ service: 'rooms', weight: 0 }] }),
        makeRoute({ name: 'd', pathPrefix: 'd' }),
      ],
      accounts: [makeAccount({}), makeAccount({ name: 'second' })],
    }));
    expect(faults.join('\n')).toMatch(/nobody[\s\S]*share host and prefix[\s\S]*add up to nothing[\s\S]*no time to answer[\s\S]*slash[\s\S]*share a key/);
    expect(faults).toHaveLength(6);
  });

  it('should find no fault in a valid routing document', () => {
    expect(checkRouting(makeRouting({}))).toEqual([]);
  });
});

describe('document in force', () => {
  // An operator whose acknowledgement was lost sends an older change again, and another operator
  // sends different content under the current version. Neither may change the document in force.
  it('should be replaced only by a higher version', () => {
    const first = applyDocument(NO_DOCUMENT, { version: 4n, document: 'four' }, 'd4');
    const late = applyDocument(first, { version: 3n, document: 'three' }, 'd3');
    const other = applyDocument(late, { version: 4n, document: 'other' }, 'dx');
    const next = applyDocument(other, { version: 9n, document: 'nine' }, 'd9');
    expect([late.document, other.document, next.document]).toEqual(['four', 'four', 'nine']);
  });
});
