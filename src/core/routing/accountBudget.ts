/** What an entry may admit for each account, as granted by the leader of control. */
import type { AccountGrant, AccountSpend } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';

interface Budget {
  /** Units admitted since the entry started. */
  total: number;
  /** Value of `total` up to which requests are admitted. */
  limit: number;
  /** Units beyond the limit that may be admitted while no leader is reached. */
  overdraft: number;
  /** Smoothed demand in units per second, refused requests included. */
  demand: number;
  demandUpdatedAt: number;
}

const MS_PER_SECOND = 1_000;
/** Time over which demand is smoothed, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;
/** Limit on the number of accounts; the oldest ones beyond it are dropped. */
const MAX_ACCOUNTS = 20_000;
/** Shortest time after which a caller over its limit may retry, in milliseconds. */
const MIN_RETRY_MS = 250;

/** Whether a leader renews the grants: each entry knows only its own charges without one. */
export type GrantRenewal = 'renewed' | 'leaderless';

const fits: Record<GrantRenewal, (budget: Budget, cost: number, reserve: number) => boolean> = {
  renewed: ({ total, limit }, cost, reserve) => total + reserve < limit,
  leaderless: ({ total, limit, overdraft }, cost, reserve) => (
    total + reserve < limit && total + cost <= limit + overdraft),
};

/** What a budget needs to know of an account. */
type BudgetAccount = Pick<RoutedAccount, 'name' | 'perSecond'>;

/**
 * Admits requests while the account's grant is not used up. One request may overdraw the grant, and
 * the leader subtracts that from the next grant. This way a large request of an account within its
 * limit is not refused.
 *
 * While no leader renews the grants, a request must fit into what is left and a small overdraft:
 * otherwise each entry would admit a whole request, and all of them far more than the limit.
 *
 * @example
 * if (!budget.trySpend(account, tokens, clock.now())) refuse('accountLimited');
 */
export class AccountBudget {
  private readonly budgets = new Map<string, Budget>();

  /** Applies grants: each one counts from the total that it was computed for. */
  applyGrants(grants: readonly AccountGrant[], now: number): void {
    grants.forEach(({
      account, units, reportedTotal, overdraft,
    }) => {
      const budget = this.findOrMakeBudget(account, now);
      budget.limit = reportedTotal + units;
      budget.overdraft = overdraft;
    });
  }

  /**
   * Charges the cost of a request; returns false when the account's grant is used up.
   *
   * @param reserve units of the grant that must be left for others
   */
  trySpend(
    account: BudgetAccount,
    cost: number,
    now: number,
    renewal: GrantRenewal = 'renewed',
    reserve = 0,
  ): boolean {
    this.recordDemand(account, cost, now);
    return this.retrySpend(account, cost, now, renewal, reserve);
  }

  /** Refunds the cost of a request that was charged and not served. */
  refund(account: string, cost: number): void {
    const budget = this.budgets.get(account);
    if (budget) budget.total -= cost;
  }

  /** Records the demand of a request, whoever decides on it: shares of the limit follow demand. */
  recordDemand(account: BudgetAccount, cost: number, now: number): void {
    const budget = this.findOrMakeBudget(account.name, now);
    budget.demand = this.computeCurrentDemand(budget, now)
      + cost / (DEMAND_WINDOW_MS / MS_PER_SECOND);
    budget.demandUpdatedAt = now;
  }

  /** Charges the cost of a request that was refused before, and whose demand is counted. */
  retrySpend(
    account: BudgetAccount,
    cost: number,
    now: number,
    renewal: GrantRenewal = 'renewed',
    reserve = 0,
  ): boolean {
    const budget = this.findOrMakeBudget(account.name, now);
    if (account.perSecond > 0 && !fits[renewal](budget, cost, reserve)) return false;
    budget.total += cost;
    return true;
  }

  /**
   * Estimates when a request of the account can be admitted, in milliseconds.
   *
   * @param cost units that the grant must cover; 0 if one request may overdraw it
   */
  estimateRetryMs(account: BudgetAccount, cost = 0): number {
    const budget = this.budgets.get(account.name);
    const overdrawn = Math.max(0, (budget?.total ?? 0) + cost - (budget?.limit ?? 0));
    return MIN_RETRY_MS + (overdrawn / Math.max(1, account.perSecond)) * MS_PER_SECOND;
  }

  /** Lists admitted units and demand, as reported to the leader. */
  listSpends(now: number): AccountSpend[] {
    return [...this.budgets].map(([account, budget]) => ({
      account, total: budget.total, demand: this.computeCurrentDemand(budget, now),
    }));
  }

  private findOrMakeBudget(account: string, now: number): Budget {
    const existing = this.budgets.get(account);
    if (existing) return existing;
    if (this.budgets.size >= MAX_ACCOUNTS) this.budgets.delete([...this.budgets.keys()][0] ?? '');
    const budget = {
      total: 0, limit: 0, overdraft: 0, demand: 0, demandUpdatedAt: now,
    };
    this.budgets.set(account, budget);
    return budget;
  }

  private computeCurrentDemand(budget: Budget, now: number): number {
    return budget.demand * Math.exp((budget.demandUpdatedAt - now) / DEMAND_WINDOW_MS);
  }
}
