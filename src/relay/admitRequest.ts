import { pickTarget } from '../core/routing/routeTable';
import type { RouteTable } from '../core/routing/routeTable';
import { BeechliftError } from '../errors/beechliftError';
import type { DocumentVersion } from '../manifest/documentVersion';
import type { Route, RoutedAccount } from '../manifest/routing';
import type { RelaySite } from './relaySite';
import type { RequestFacts } from './requestDialect';

/** A request that may be sent, with its route and account. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  readonly account: RoutedAccount | undefined;
  /** Rank 0 goes first. The account's rank takes precedence over the route's. */
  readonly rank: number;
  /** Version of the routing document that admitted the request. */
  readonly version: DocumentVersion;
}

/** Retry-After while the entry has no lease, in milliseconds. */
const NO_LEASE_RETRY_MS = 500;

/** Makes the refusal of an entry without a lease; it does not know the routes and keys in force. */
export const makeNoLeaseError = (): BeechliftError => new BeechliftError(
  'configurationStale',
  'this entry has no lease on the routing document',
  { retryAfterMs: NO_LEASE_RETRY_MS },
);

const requireTable = (site: RelaySite): RouteTable => {
  if (site.table && site.isServing) return site.table;
  throw makeNoLeaseError();
};

const findAccount = (
  table: RouteTable,
  route: Route,
  facts: RequestFacts,
): RoutedAccount | undefined => {
  if (route.isPublic || !table.needsKeys) return undefined;
  const account = table.findAccount(facts.key);
  if (!account) throw new BeechliftError('unknownKey', `route "${route.name}" requires the key of an account, and the request has no key or an unknown one`);
  return account;
};

/** Computes the cost of a request for its account, in the account's unit. */
export const computeCost = (account: RoutedAccount, { tokens }: RequestFacts): number => {
  if (account.unit === 'requests') return 1;
  return tokens ? tokens.prompt + tokens.output : account.defaultTokens;
};

/** Charges a request to the account's share at this entry; returns false if it does not fit. */
export const chargeAccount = (
  site: RelaySite,
  account: RoutedAccount,
  facts: RequestFacts,
  now: number,
): boolean => site.accounts.trySpend(account, computeCost(account, facts), now);

/** Makes the refusal of a request that does not fit into the account's share at this entry. */
export const makeLimitError = (
  site: RelaySite,
  account: RoutedAccount,
  facts: RequestFacts,
  now: number,
): BeechliftError => new BeechliftError('accountLimited', `account "${account.name}" has used up its share of ${account.perSecond} ${account.unit} a second at this entry`, { retryAfterMs: site.accounts.estimateRetryMs(account, computeCost(account, facts), now) });

/**
 * Decides whether a request may be sent, and to which service; throws the refusal otherwise.
 *
 * @param draw a number from 0 to 1 that selects one of several targets of a route
 * @example
 * const admitted = admitRequest(site, facts, 'shop.example', '/orders/7', drawTargetShare(facts));
 */
export const admitRequest = (
  site: RelaySite,
  facts: RequestFacts,
  host: string,
  target: string,
  draw: number,
): AdmittedRequest => {
  const table = requireTable(site);
  const route = table.findRoute(host, target);
  if (!route) throw new BeechliftError('unknownRoute', `no route matches host "${host.slice(0, 100)}" and the requested path`);
  const account = findAccount(table, route, facts);
  return {
    route,
    service: pickTarget(route.targets, draw),
    account,
    rank: table.computeRank(route, account),
    version: table.routing.version,
  };
};
