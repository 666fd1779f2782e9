import { computeSha256, formatCanonicalJson } from '../../utils/canonicalJson';
import type {
  DesiredModel, DesiredState, OrderState, ScheduleConfig, ScheduleTables,
} from './scheduleTypes';

/** Longest time from the decision to send an order until it can no longer arrive, milliseconds. */
export const MAX_ORDER_DELAY_MS = 2_000;

const MINUTE_MS = 60_000;
const DIGEST_LENGTH = 32;

const buildDesiredModel = (config: ScheduleConfig, name: string): DesiredModel => ({
  name,
  modelVersion: config.models[name]?.modelVersion ?? '',
  adapters: [...config.models[name]?.adapters ?? []].sort(),
});

/**
 * Builds what the workers of a pool are to carry; none for services, which take no orders.
 *
 * @example
 * const desired = buildDesired('fast', manifest);
 */
export const buildDesiredState = (name: string, config: ScheduleConfig): DesiredState | undefined => {
  const pool = config.pools[name];
  if (!pool || pool.kind !== 'model') return undefined;
  const models = [...pool.models].sort().map((model) => buildDesiredModel(config, model));
  const content = { role: pool.role, models };
  const digest = computeSha256(formatCanonicalJson(content)).slice(0, DIGEST_LENGTH);
  return { ...content, digest };
};

/**
 * Time between two loads of one pool. The weight store's limit holds for all pools together; each
 * has an equal share, so that owners keep it without asking one another.
 */
export const computeLoadIntervalMs = ({ config }: Pick<ScheduleTables, 'config'>): number => {
  const pools = Object.values(config.pools).filter(({ kind }) => kind === 'model').length;
  return (MINUTE_MS * Math.max(1, pools)) / config.limits.loadsPerMinute;
};

/*
 * Guards against two owners that order one server at a time: engines that check the fencing number
 * refuse the older one; for those that do not, a new owner waits until the lease of the one before
 * has ended and what that one sent can no longer arrive. The load that it may have started counts
 * against the weight store, so the first one here waits a whole turn.
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

/** Brings what is desired up to the manifest in force. */
export const updateDesiredState = ({ orders, pool, config }: ScheduleTables): void => {
  orders.desired = buildDesiredState(pool, config);
};
