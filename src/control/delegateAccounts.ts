import type { AccountGrant, AccountSpend } from '../protocol/generated/beechlift';
import { AccountBudget } from '../core/routing/accountBudget';
import { computeHigherDemand, recordDemand } from '../core/routing/accountDemand';
import type { AccountDemand } from '../core/routing/accountDemand';

/** Units are kept for higher ranks while less is left than the rate gives in this time, in ms. */
const SCARCE_MS = 500;
const MS_PER_SECOND = 1_000;
/** Time after a reply of the leader in which grants count as renewed, in milliseconds. */
const RENEWED_MS = 1_000;

/** What is charged for a request. */
export interface DelegateCharge {
  readonly account: string;
  readonly cost: number;
  readonly rank: number;
}

/**
 * - `charged`: the request fits into what the leader granted.
 * - `limited`: the account has used up its limit.
 * - `unknown`: the grant is used up, but the account is within its limit.
 */
export type ChargeResult = | { readonly kind: 'charged' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'limited'; readonly retryAfterMs: number };

interface DelegateAccount {
  grant: AccountGrant;
  readonly demand: AccountDemand;
}

/**
 * Computes how many units a request leaves for higher ranks: none while the account is within its
 * limit, nor while much of the limit is not used.
 */
const computeReserve = (
  { grant: { isExceeded, left, perSecond }, demand }: DelegateAccount,
  rank: number,
  now: number,
): number => {
  const isScarce = isExceeded && left < (perSecond * SCARCE_MS) / MS_PER_SECOND;
  return isScarce ? computeHigherDemand(demand, rank, now) : 0;
};

/**
 * Accounts at a replica that grants slots for the leader. It charges them up to its own part of
 * their limits, which the leader renews several times a second.
 *
 * @example
 * const result = accounts.charge({ account: 'shop', cost: 120, rank: 1 }, clock.now());
 */
export class DelegateAccounts {
  private readonly budget = new AccountBudget();

  private readonly accounts = new Map<string, DelegateAccount>();

  private renewedAt = -Infinity;

  /** Applies the grants of a reply, which name all accounts that have a limit. */
  applyGrants(grants: readonly AccountGrant[], now: number): void {
    const names = new Set(grants.map(({ account }) => account));
    [...this.accounts.keys()].filter((name) => !names.has(name))
      .forEach((name) => this.accounts.delete(name));
    grants.forEach((grant) => {
      const known = this.accounts.get(grant.account);
      if (known) known.grant = grant;
      else this.accounts.set(grant.account, { grant, demand: new Map() });
    });
    this.budget.applyGrants(grants, now);
    this.renewedAt = now;
  }

  /** Charges the account of a request, if it has a limit. */
  charge({ account: name, cost, rank }: DelegateCharge, now: number): ChargeResult {
    const account = this.accounts.get(name);
    // A retry costs nothing: it was charged at the first attempt.
    if (cost <= 0 || name === '') return { kind: 'charged' };
    // Before the first reply it is not known which accounts have a limit.
    if (!account) return { kind: this.renewedAt === -Infinity ? 'unknown' : 'charged' };
    const { grant: { perSecond, isExceeded }, demand } = account;
    recordDemand(demand, rank, cost, now);
    const reserve = computeReserve(account, rank, now);
    const renewal = now - this.renewedAt < RENEWED_MS ? 'renewed' : 'leaderless';
    if (this.budget.trySpend({ name, perSecond }, cost, now, renewal, reserve)) return { kind: 'charged' };
    if (!isExceeded) return { kind: 'unknown' };
    return { kind: 'limited', retryAfterMs: this.budget.estimateRetryMs({ name, perSecond }) };
  }

  /** Refunds a request that got no slot or did not use it. */
  refund(account: string, cost: number): void {
    if (this.accounts.has(account)) this.budget.refund(account, cost);
  }

  /** Lists what was charged, as reported to the leader. */
  listSpends(now: number): AccountSpend[] {
    return this.budget.listSpends(now);
  }
}
