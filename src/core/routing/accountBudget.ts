/** What an entry may let through of each account, as the leader of control lends it. */
import type { AccountGrant, AccountSpend } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';

interface Budget {
  /** Units let through since the entry started. */
  total: number;
  /** Units up to which requests are let through, counted like `total`. */
  until: number;
  /** Smoothed demand a second, let through or not. */
  demand: number;
  demandAt: number;
}

const MS_PER_SECOND = 1_000;
/** Time over which demand is smoothed. */
const DEMAND_WINDOW_MS = 2_000;
/** Bounds the table: accounts that are no longer named are forgotten beyond it. */
const MAX_ACCOUNTS = 20_000;
/** Shortest time after which a caller over its limit may come back, in milliseconds. */
const MIN_RETRY_MS = 250;

/**
 * Lets requests through while the account's loan is not used up. One request may overdraw it, which
 * the leader takes off the next loan, so that a large request of an account within its limit is not
 * refused.
 *
 * @example
 * if (!budget.take(account, tokens, clock.now())) refuse('accountLimited');
 */
export class AccountBudget {
  private readonly budgets = new Map<string, Budget>();

  /** Takes in loans: each counts from the total that it was granted on. */
  applyGrants(grants: readonly AccountGrant[], now: number): void {
    grants.forEach(({ account, units, reportedTotal }) => {
      this.findOrMakeBudget(account, now).until = reportedTotal + units;
    });
  }

  /** Takes what a request costs; false when the account's loan is used up. */
  trySpend(account: RoutedAccount, cost: number, now: number): boolean {
    const budget = this.findOrMakeBudget(account.name, now);
    budget.demand = this.computeCurrentDemand(budget, now) + cost / (DEMAND_WINDOW_MS / MS_PER_SECOND);
    budget.demandAt = now;
    if (account.perSecond > 0 && budget.total >= budget.until) return false;
    budget.total += cost;
    return true;
  }

  /** Milliseconds until the account's limit is likely to hold something for this entry again. */
  estimateRetryMs(account: RoutedAccount): number {
    const budget = this.budgets.get(account.name);
    const missing = Math.max(0, (budget?.total ?? 0) - (budget?.until ?? 0));
    return MIN_RETRY_MS + (missing / Math.max(1, account.perSecond)) * MS_PER_SECOND;
  }

  /** What was let through and asked for, for the leader. */
  listSpends(now: number): AccountSpend[] {
    return [...this.budgets].map(([account, budget]) => ({
      account, total: budget.total, demand: this.computeCurrentDemand(budget, now),
    }));
  }

  private findOrMakeBudget(account: string, now: number): Budget {
    const known = this.budgets.get(account);
    if (known) return known;
    if (this.budgets.size >= MAX_ACCOUNTS) this.budgets.delete([...this.budgets.keys()][0] ?? '');
    const budget = {
      total: 0, until: 0, demand: 0, demandAt: now,
    };
    this.budgets.set(account, budget);
    return budget;
  }

  private computeCurrentDemand(budget: Budget, now: number): number {
    return budget.demand * Math.exp((budget.demandAt - now) / DEMAND_WINDOW_MS);
  }
}
