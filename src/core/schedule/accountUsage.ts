import type { AccountUsage, ScheduleTables } from './scheduleTypes';

const MINUTE_MS = 60_000;

/** Finds the usage of an account in the pool, and creates it when there is none yet. */
export const findAccountUsage = (tables: ScheduleTables, account: string): AccountUsage => {
  const known = tables.accounts.get(account);
  if (known) return known;
  const usage: AccountUsage = {
    requests: 0,
    virtualTokens: 0,
    tokensLeft: tables.config.accounts[account]?.tokensPerMinute ?? 0,
    refilledAt: 0,
  };
  tables.accounts.set(account, usage);
  return usage;
};

const refillTokens = (usage: AccountUsage, perMinute: number, now: number): void => {
  const refilled = ((now - usage.refilledAt) / MINUTE_MS) * perMinute;
  usage.tokensLeft = usage.refilledAt === 0
    ? perMinute
    : Math.min(perMinute, usage.tokensLeft + refilled);
  usage.refilledAt = now;
};

/**
 * Finds the reason why an account may not have one more request; undefined when it may.
 *
 * @example
 * const reason = findLimitReason(tables, 'kiosks', 400, now);
 */
export const findLimitReason = (
  tables: ScheduleTables,
  account: string,
  cost: number,
  now: number,
): string | undefined => {
  const limits = tables.config.accounts[account];
  const usage = findAccountUsage(tables, account);
  const concurrency = limits?.concurrency ?? 1;
  if (usage.requests >= concurrency) {
    return `${usage.requests} requests of account "${account}" are in pool "${tables.pool}", the limit is ${concurrency}`;
  }
  const perMinute = limits?.tokensPerMinute ?? 0;
  if (perMinute === 0) return undefined;
  refillTokens(usage, perMinute, now);
  if (usage.tokensLeft >= Math.min(cost, perMinute)) return undefined;
  return `account "${account}" has ${Math.floor(usage.tokensLeft)} of ${perMinute} tokens per minute left, the request needs about ${Math.ceil(cost)}`;
};

/** Adds a request to the usage of its account. */
export const addAccountUsage = (tables: ScheduleTables, account: string, cost: number): void => {
  const usage = findAccountUsage(tables, account);
  usage.requests += 1;
  usage.tokensLeft -= cost;
};

/** Removes a request from the usage of its account and refunds the tokens that it did not use. */
export const releaseAccountUsage = (
  tables: ScheduleTables,
  account: string,
  unused: number,
): void => {
  const usage = findAccountUsage(tables, account);
  usage.requests = Math.max(0, usage.requests - 1);
  usage.tokensLeft += unused;
};

/** Charges served tokens to the fair share of an account. */
export const chargeAccount = (tables: ScheduleTables, account: string, tokens: number): void => {
  const weight = tables.config.accounts[account]?.weight ?? 1;
  findAccountUsage(tables, account).virtualTokens += tokens / weight;
};

/** Removes accounts that have no requests and are no longer in the manifest. */
export const removeUnusedAccounts = (tables: ScheduleTables): void => {
  [...tables.accounts]
    .filter(([name, usage]) => usage.requests === 0 && !tables.config.accounts[name])
    .forEach(([name]) => tables.accounts.delete(name));
};
