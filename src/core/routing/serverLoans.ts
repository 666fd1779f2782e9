/** How the leader divides the servers of a service among the replicas that grant their slots. */

/** A server whose slots can be granted. */
export interface LendableServer {
  readonly id: string;
  readonly slots: number;
}

/** What a division is based on. */
export interface LoanInput {
  /** Ready servers of one service. */
  readonly servers: readonly LendableServer[];
  /** Slots that the requests at each granter would use, by id; the leader is one of them. */
  readonly demands: ReadonlyMap<string, number>;
  /** Granter of each server; a missing server is the leader's. */
  readonly owners: ReadonlyMap<string, string>;
}

/** Stands for the leader among the granters. */
export const LEADER = '';

/** Fewest servers for each granter; a service with fewer is not divided. */
const MIN_SERVERS = 4;
/** Least part of an even share that the leader keeps, for requests that are passed on to it. */
const MIN_LEADER_SHARE = 0.1;
/** Deviation from a share, as a part of it, up to which no server changes its granter. */
const TOLERANCE = 0.15;

const sum = (values: Iterable<number>): number => (
  [...values].reduce((total, value) => total + value, 0));

/** Computes how many slots each granter is to have. */
const computeTargets = (
  servers: readonly LendableServer[],
  demands: ReadonlyMap<string, number>,
): Map<string, number> => {
  const demand = sum(demands.values());
  const minLeaderWeight = MIN_LEADER_SHARE / demands.size;
  const weights = new Map([...demands].map(([id, value]) => {
    const weight = demand > 0 ? value / demand : 0;
    return [id, id === LEADER ? Math.max(weight, minLeaderWeight) : weight];
  }));
  const slots = sum(servers.map((server) => server.slots));
  const total = sum(weights.values());
  return new Map([...weights].map(([id, weight]) => [id, (slots * weight) / total]));
};

/** A granter with its servers, while servers are moved. */
interface Granter {
  readonly id: string;
  readonly target: number;
  servers: readonly LendableServer[];
}

const measureExcess = ({ servers, target }: Granter): number => (
  sum(servers.map(({ slots }) => slots)) - target);

/** Whether a granter has far too few or too many slots, by more than one server's. */
const isOffTarget = (granter: Granter): boolean => {
  const excess = Math.abs(measureExcess(granter));
  const [server] = granter.servers;
  return excess > TOLERANCE * granter.target && excess > (server?.slots ?? 0);
};

/** Moves one server to a granter that lacks slots; returns false if that brings no one closer. */
const moveServer = (granters: readonly Granter[], receiver: Granter): boolean => {
  const giver = granters.reduce((most, granter) => (
    measureExcess(granter) > measureExcess(most) ? granter : most));
  const [server, ...kept] = giver.servers;
  if (!server || giver === receiver) return false;
  const canGive = measureExcess(giver) >= server.slots / 2;
  if (!canGive || -measureExcess(receiver) < server.slots / 2) return false;
  giver.servers = kept;
  receiver.servers = [...receiver.servers, server];
  return true;
};

/**
 * Divides servers by demand. Each one has exactly one granter. Servers only move if some granter is
 * far from its share, so that demand which varies a little does not move them all the time.
 *
 * @returns the granter of each server
 * @example
 * const demands = new Map([[LEADER, 2], ['replica-2', 40], ['replica-3', 38]]);
 * const owners = planLoans({ servers, demands, owners: new Map() });
 */
export const planLoans = ({ servers, demands, owners }: LoanInput): Map<string, string> => {
  const isDivided = servers.length >= MIN_SERVERS * demands.size && sum(demands.values()) > 0;
  if (!isDivided) return new Map(servers.map(({ id }) => [id, LEADER]));
  const granters = [...computeTargets(servers, demands)].map(([id, target]): Granter => ({
    id,
    target,
    servers: servers.filter((server) => {
      const owner = owners.get(server.id) ?? LEADER;
      return (demands.has(owner) ? owner : LEADER) === id;
    }),
  }));
  if (granters.some(isOffTarget)) {
    granters.forEach((receiver) => {
      while (moveServer(granters, receiver));
    });
  }
  return new Map(granters.flatMap(({ id, servers: own }) => (
    own.map((server) => [server.id, id] as const))));
};
