import type { Route, RoutedAccount, Routing } from '../../src/manifest/routing';

/** Makes a route of the host shop.example to the service rooms; `changes` replaces fields. */
export const makeRoute = (changes: Partial<Route>): Route => ({
  name: 'r',
  host: 'shop.example',
  pathPrefix: '/orders/',
  kind: 'idempotent',
  timeoutMs: 2_000,
  targetLatencyMs: 200,
  rank: 0,
  targets: [{ service: 'rooms', weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  isResumable: false,
  ...changes,
});

/** Makes an account with the key k1; `changes` replaces fields. */
export const makeAccount = (changes: Partial<RoutedAccount>): RoutedAccount => ({
  name: 'lobby',
  keys: ['k1'],
  rank: undefined,
  unit: 'tokens',
  perSecond: 0,
  burst: 0,
  defaultTokens: 10,
  ...changes,
});

/** Makes a routing with one route, one service and one account; `changes` replaces fields. */
export const makeRouting = (changes: Partial<Routing>): Routing => ({
  version: 1n,
  routes: [makeRoute({})],
  services: [{ name: 'rooms', maxConnections: 100, isEngine: false }],
  accounts: [makeAccount({})],
  limits: {
    headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000,
  },
  ...changes,
});
