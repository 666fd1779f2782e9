import type { AccountUse, ScheduleTables } from './scheduleTypes';

const MINUTE_MS = 60_000;

/** What an account uses of the pool. */
export const findAccountUse = (tables: ScheduleTables, account: string): AccountUse => {
  const known = tables.accounts.get(account);
  if (known) return known;
  const use: AccountUse = {
    requests: 0,
    virtualTokens: 0,
    tokensLeft: tables.config.accounts[account]?.tokensPerMinute ?? 0,
    refilledAt: 0,
  };
  tables.accounts.set(account, use);
  return use;
};

const refillTokens = (use: AccountUse, perMinute: number, now: number): void => {
  const gained = ((now - use.refilledAt) / MINUTE_MS) * perMinute;
  use.tokensLeft = use.refilledAt === 0 ? perMinute : Math.min(perMinute, use.tokensLeft + gained);
  use.refilledAt = now;
};

/**
 * Tells why an account may not have one more request, or undefined when it may.
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
  const use = findAccountUse(tables, account);
  const concurrency = limits?.concurrency ?? 1;
  if (use.requests >= concurrency) {
    return `${use.requests} requests of account "${account}" are in pool "${tables.pool}", its limit is ${concurrency}`;
  }
  const perMinute = limits?.tokensPerMinute ?? 0;
  if (perMinute === 0) return undefined;
  refillTokens(use, perMinute, now);
  if (use.tokensLeft >= Math.min(cost, perMinute)) return undefined;
  return `account "${account}" has ${Math.floor(use.tokensLeft)} tokens left of ${perMinute} a minute, the request needs about ${Math.ceil(cost)}`;
};

/** Counts a request of an account in. */
export const takeAccountUse = (tables: ScheduleTables, account: string, cost: number): void => {
  const use = findAccountUse(tables, account);
  use.requests += 1;
  use.tokensLeft -= cost;
};

/** Counts a request of an account out; tokens that it did not use are given back. */
export const releaseAccountUse = (
  tables: ScheduleTables,
  account: string,
  unused: number,
): void => {
  const use = findAccountUse(tables, account);
  use.requests = Math.max(0, use.requests - 1);
  use.tokensLeft += unused;
};

/** Counts service against the fair share of an account. */
export const chargeAccount = (tables: ScheduleTables, account: string, tokens: number): void => {
  const weight = tables.config.accounts[account]?.weight ?? 1;
  findAccountUse(tables, account).virtualTokens += tokens / weight;
};

/** Forgets accounts that the manifest no longer names and that use nothing. */
export const trimAccounts = (tables: ScheduleTables): void => {
  [...tables.accounts]
    .filter(([name, use]) => use.requests === 0 && !tables.config.accounts[name])
    .forEach(([name]) => tables.accounts.delete(name));
};
