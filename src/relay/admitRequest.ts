import { pickTarget } from '../core/routing/routeTable';
import type { RouteTable } from '../core/routing/routeTable';
import { BeechliftError } from '../errors/beechliftError';
import type { Route, RoutedAccount } from '../manifest/routing';
import type { RelaySite } from './relaySite';
import type { RequestFacts } from './requestDialect';

/** A request that may be sent, and what the routing says of it. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  readonly account: RoutedAccount | undefined;
  /** Rank 0 goes first: the account's precedes the route's where accounts differ. */
  readonly rank: number;
  /** Routing version that admitted it. */
  readonly version: number;
}

/** Time after which a caller may ask an entry again that cannot serve at the moment. */
const NO_LEASE_RETRY_MS = 500;

const requireTable = (site: RelaySite): RouteTable => {
  if (site.table && site.isServing) return site.table;
  // Without a lease it is not known which routes and keys are in force: nothing is said of them.
  throw new BeechliftError('configurationStale', 'this entry has no lease on the routing document', { retryAfterMs: NO_LEASE_RETRY_MS });
};

const findAccount = (
  table: RouteTable,
  route: Route,
  facts: RequestFacts,
): RoutedAccount | undefined => {
  if (route.isPublic || !table.needsKeys) return undefined;
  const account = table.findAccount(facts.key);
  if (!account) throw new BeechliftError('unknownKey', `the key opens no account for route "${route.name}"`);
  return account;
};

/** What a request costs its account, in the account's unit. */
export const computeCost = (account: RoutedAccount, { tokens }: RequestFacts): number => {
  if (account.unit === 'requests') return 1;
  return tokens ? tokens.prompt + tokens.output : account.defaultTokens;
};

/** Takes what a request costs off its account's loan; throws when that is used up. */
export const chargeAccount = (
  site: RelaySite,
  account: RoutedAccount | undefined,
  facts: RequestFacts,
  now: number,
): void => {
  if (!account) return;
  if (site.budget.trySpend(account, computeCost(account, facts), now)) return;
  throw new BeechliftError('accountLimited', `account "${account.name}" has used up its share of ${account.perSecond} ${account.unit} a second at this entry`, { retryAfterMs: site.budget.estimateRetryMs(account) });
};

/**
 * Decides whether a request may be sent, and to which service; throws the refusal otherwise.
 *
 * @param randomValue a number from 0 to below 1, by which a route with several targets is split
 * @example
 * const admitted = admitRequest(site, facts, 'shop.example', '/orders/7', Math.random());
 */
export const admitRequest = (
  site: RelaySite,
  facts: RequestFacts,
  host: string,
  target: string,
  randomValue: number,
): AdmittedRequest => {
  const table = requireTable(site);
  const route = table.findRoute(host, target);
  if (!route) throw new BeechliftError('unknownRoute', `no route covers host "${host.slice(0, 100)}" and this path`);
  const account = findAccount(table, route, facts);
  return {
    route,
    service: pickTarget(route.targets, randomValue),
    account,
    rank: table.computeRank(route, account),
    version: table.routing.version,
  };
};
