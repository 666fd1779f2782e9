import type { Route, Routing } from './routing';

type Rule = (routing: Routing) => string[];

const findDuplicates = (names: readonly string[]): string[] => {
  const seen = new Set<string>();
  return names.filter((name) => {
    const isDuplicate = seen.has(name);
    seen.add(name);
    return isDuplicate;
  });
};

const checkServices: Rule = ({ routes, services }) => {
  const known = new Set(services.map(({ name }) => name));
  return routes.flatMap(({ name, targets }) => targets
    .filter(({ service }) => !known.has(service))
    .map(({ service }) => `route "${name}" refers to service "${service}", which is not defined`));
};

const formatHostAndPrefix = ({ host, pathPrefix }: Route): string => `${host}${pathPrefix}`;

const checkHostsAndPrefixes: Rule = ({ routes }) => findDuplicates(routes.map(formatHostAndPrefix))
  .map((hostAndPrefix) => `two routes share host and prefix "${hostAndPrefix}"`);

const checkWeights: Rule = ({ routes }) => routes
  .filter(({ targets }) => targets.reduce((sum, { weight }) => sum + weight, 0) <= 0)
  .map(({ name }) => `the weights of route "${name}" add up to nothing`);

const checkTimeouts: Rule = ({ routes }) => routes
  .filter(({ timeoutMs }) => timeoutMs <= 0)
  .map(({ name }) => `route "${name}" has no time to answer`);

const checkPrefixes: Rule = ({ routes }) => routes
  .filter(({ pathPrefix }) => !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'))
  .map(({ name }) => `the path prefix of route "${name}" must begin and end with a slash`);

const checkKeys: Rule = ({ accounts }) => {
  const owners = new Map<string, string>();
  return accounts.flatMap(({ name, keys }) => keys.flatMap((key) => {
    const owner = owners.get(key) ?? name;
    owners.set(key, owner);
    return owner === name ? [] : [`accounts "${owner}" and "${name}" share a key`];
  }));
};

const rules: readonly Rule[] = [
  checkServices, checkHostsAndPrefixes, checkWeights, checkTimeouts, checkPrefixes, checkKeys,
];

/**
 * Lists the faults of a routing that a schema cannot detect, such as undefined names.
 *
 * @example
 * const faults = checkRouting(routing);
 * if (faults.length > 0) refuse(faults);
 */
export const checkRouting = (routing: Routing): string[] => rules.flatMap((rule) => rule(routing));
