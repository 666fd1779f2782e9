import { computeSha256, formatCanonicalJson } from '../../utils/canonicalJson';
import type {
  DesiredModel, DesiredState, OrderState, ScheduleConfig, ScheduleTables,
} from './scheduleTypes';

/** Longest time between the decision to send an order and its arrival, in milliseconds. */
export const MAX_ORDER_DELAY_MS = 2_000;

const MINUTE_MS = 60_000;
const DIGEST_LENGTH = 32;

const buildDesiredModel = (config: ScheduleConfig, name: string): DesiredModel => ({
  name,
  modelVersion: config.models[name]?.modelVersion ?? '',
  adapters: [...config.models[name]?.adapters ?? []].sort(),
});

/**
 * Builds the state that the workers of a pool should load; undefined for pools of services, which
 * accept no orders.
 *
 * @example
 * const desired = buildDesiredState('fast', manifest);
 */
export const buildDesiredState = (
  name: string,
  config: ScheduleConfig,
): DesiredState | undefined => {
  const pool = config.pools[name];
  if (!pool || pool.kind !== 'model') return undefined;
  const models = [...pool.models].sort().map((model) => buildDesiredModel(config, model));
  const content = { role: pool.role, models };
  const digest = computeSha256(formatCanonicalJson(content)).slice(0, DIGEST_LENGTH);
  return { ...content, digest };
};

/**
 * Computes the time between two model loads of one pool, in milliseconds. The limit of the weight
 * store applies to all pools together. Each pool has an equal share, so that the owners need not
 * coordinate.
 */
export const computeLoadIntervalMs = ({ config }: Pick<ScheduleTables, 'config'>): number => {
  const pools = Object.values(config.pools).filter(({ kind }) => kind === 'model').length;
  return (MINUTE_MS * Math.max(1, pools)) / config.limits.loadsPerMinute;
};

/**
 * Creates the order state of a new owner and guards against two owners that send orders to one
 * server at the same time. Engines that check the fencing number reject the older owner. For other
 * engines, the new owner waits until the lease of the earlier owner has ended and its orders can no
 * longer arrive. The earlier owner may have started a load, which counts against the limit of the
 * weight store, so the new owner also waits one load interval.
 */
export const makeOrderState = (
  pool: string,
  config: ScheduleConfig,
  settledAt: number,
): OrderState => {
  const isFenced = config.pools[pool]?.checksFencing ?? false;
  const allowedAt = settledAt + MAX_ORDER_DELAY_MS;
  return {
    desired: buildDesiredState(pool, config),
    allowedAt: isFenced ? -Infinity : allowedAt,
    nextLoadAt: settledAt + computeLoadIntervalMs({ config }),
  };
};

/** Updates the desired state to the manifest in force. */
export const updateDesiredState = ({ orders, pool, config }: ScheduleTables): void => {
  orders.desired = buildDesiredState(pool, config);
};
