import type {
  Route, RouteTarget, RoutedAccount, RoutedService, Routing,
} from '../../manifest/routing';

const removePort = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

const removeQuery = (target: string): string => {
  const end = target.indexOf('?');
  return end < 0 ? target : target.slice(0, end);
};

const indexByHost = (routes: readonly Route[]): Map<string, Map<string, Route>> => {
  const hosts = new Map<string, Map<string, Route>>();
  routes.forEach((route) => {
    const host = route.host.toLowerCase();
    const prefixes = hosts.get(host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    hosts.set(host, prefixes);
  });
  return hosts;
};

/**
 * Index of a routing document, with one lookup per request: by host, then by each prefix of the
 * path from the longest on. The cost grows with the depth of the path, not with the number of
 * routes.
 *
 * @example
 * const route = new RouteTable(routing).findRoute('shop.example', '/orders/7');
 */
export class RouteTable {
  private readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;

  private readonly services: ReadonlyMap<string, RoutedService>;

  private readonly accountsByKey: ReadonlyMap<string, RoutedAccount>;

  private readonly minAccountRank: number;

  /** Number of ranks that routes can have, rank 0 included. */
  private readonly routeRankCount: number;

  constructor(readonly routing: Routing) {
    this.minAccountRank = routing.accounts.reduce(
      (lowest, { rank }) => Math.min(lowest, rank ?? 0),
      Infinity,
    );
    this.routeRankCount = 1 + routing.routes.reduce(
      (highest, { rank }) => Math.max(highest, rank),
      0,
    );
    this.hosts = indexByHost(routing.routes);
    this.services = new Map(routing.services.map((service) => [service.name, service]));
    this.accountsByKey = new Map(routing.accounts.flatMap(
      (account) => account.keys.map((key): [string, RoutedAccount] => [key, account]),
    ));
  }

  /** Whether requests need a key, except on public routes. */
  get needsKeys(): boolean {
    return this.routing.accounts.length > 0;
  }

  /** Finds the route with the longest prefix of the path. */
  findRoute(host: string, target: string): Route | undefined {
    const prefixes = this.hosts.get(removePort(host));
    if (!prefixes) return undefined;
    let path = removeQuery(target);
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      path = path.slice(0, end + 1);
      const route = prefixes.get(path);
      if (route) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** Finds the account that a key belongs to. */
  findAccount(key: string): RoutedAccount | undefined {
    return this.accountsByKey.get(key);
  }

  /**
   * Computes the rank of a request; rank 0 is served first. An account's rank takes precedence over
   * the route's: one step of it outweighs all route ranks. If all accounts have the same rank, the
   * route's alone decides.
   */
  computeRank(route: Route, account: RoutedAccount | undefined): number {
    const steps = account ? (account.rank ?? 0) - this.minAccountRank : 0;
    return route.rank + steps * this.routeRankCount;
  }

  /** Finds a service by name. */
  findService(name: string): RoutedService | undefined {
    return this.services.get(name);
  }
}

/** Whether another server may continue a stream of a route that broke off. */
export const isResumableStream = ({ kind, isResumable }: Route): boolean => (
  kind === 'stream' && isResumable);

/**
 * Picks the target service of a request by weight.
 *
 * @param draw a number from 0 (inclusive) to 1 (exclusive)
 * @example
 * const service = pickTarget(route.targets, drawTargetShare(facts));
 */
export const pickTarget = (targets: readonly RouteTarget[], draw: number): string => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = draw * total;
  const picked = targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? targets.at(-1))?.service ?? '';
};
