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
 * A routing, indexed for one look-up a request: by host, then by each prefix of the path from the
 * longest on, so that the cost grows with the depth of the path and not with the number of routes.
 *
 * @example
 * const route = new RouteTable(routing).findRoute('shop.example', '/orders/7');
 */
export class RouteTable {
  private readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;

  private readonly services: ReadonlyMap<string, RoutedService>;

  private readonly accountsByKey: ReadonlyMap<string, RoutedAccount>;

  private readonly minAccountRank: number;

  /** Ranks that routes have, 0 included. */
  private readonly routeRankCount: number;

  constructor(readonly routing: Routing) {
    this.minAccountRank = routing.accounts.reduce(
      (least, { rank }) => Math.min(least, rank ?? 0),
      Infinity,
    );
    this.routeRankCount = 1 + routing.routes.reduce((most, { rank }) => Math.max(most, rank), 0);
    this.hosts = indexByHost(routing.routes);
    this.services = new Map(routing.services.map((service) => [service.name, service]));
    this.accountsByKey = new Map(routing.accounts.flatMap(
      (account) => account.keys.map((key): [string, RoutedAccount] => [key, account]),
    ));
  }

  /** Whether requests need a key, but for those of public routes. */
  get needsKeys(): boolean {
    return this.routing.accounts.length > 0;
  }

  /** The route with the longest prefix that begins the path. */
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

  /** The account that holds a key. */
  findAccount(key: string): RoutedAccount | undefined {
    return this.accountsByKey.get(key);
  }

  /**
   * Rank of a request: 0 goes first. An account's rank precedes the route's, so it counts by as
   * many steps as routes have ranks; where all accounts have the same, the routes' decide alone.
   */
  computeRank(route: Route, account: RoutedAccount | undefined): number {
    const steps = account ? (account.rank ?? 0) - this.minAccountRank : 0;
    return route.rank + steps * this.routeRankCount;
  }

  /** A service by name. */
  findService(name: string): RoutedService | undefined {
    return this.services.get(name);
  }
}

/**
 * Picks the service that takes a request, by weight.
 *
 * @param draw a number from 0 to below 1
 * @example
 * const service = pickTarget(route.targets, Math.random());
 */
export const pickTarget = (targets: readonly RouteTarget[], draw: number): string => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  const found = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (found ?? targets.at(-1))?.service ?? '';
};
