/** What an entry may admit for each account, as granted by the leader of control. */
import type { AccountGrant, AccountSpend } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';

interface Budget {
  /** Units admitted since the entry started. */
  total: number;
  /** Value of `total` up to which requests are admitted. */
  limit: number;
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

/**
 * Admits requests while the account's grant is not used up. One request may overdraw the grant, and
 * the leader subtracts that from the next grant. This way a large request of an account within its
 * limit is not refused.
 *
 * @example
 * if (!budget.trySpend(account, tokens, clock.now())) refuse('accountLimited');
 */
export class AccountBudget {
  private readonly budgets = new Map<string, Budget>();

  /** Applies grants: each one counts from the total that it was computed for. */
  applyGrants(grants: readonly AccountGrant[], now: number): void {
    grants.forEach(({ account, units, reportedTotal }) => {
      this.findOrMakeBudget(account, now).limit = reportedTotal + units;
    });
  }

  /** Charges the cost of a request; returns false when the account's grant is used up. */
  trySpend(account: RoutedAccount, cost: number, now: number): boolean {
    const budget = this.findOrMakeBudget(account.name, now);
    budget.demand = this.computeCurrentDemand(budget, now)
      + cost / (DEMAND_WINDOW_MS / MS_PER_SECOND);
    budget.demandUpdatedAt = now;
    if (account.perSecond > 0 && budget.total >= budget.limit) return false;
    budget.total += cost;
    return true;
  }

  /** Estimates when this entry can admit requests of the account again, in milliseconds. */
  estimateRetryMs(account: RoutedAccount): number {
    const budget = this.budgets.get(account.name);
    const overdrawn = Math.max(0, (budget?.total ?? 0) - (budget?.limit ?? 0));
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
      total: 0, limit: 0, demand: 0, demandUpdatedAt: now,
    };
    this.budgets.set(account, budget);
    return budget;
  }

  private computeCurrentDemand(budget: Budget, now: number): number {
    return budget.demand * Math.exp((budget.demandUpdatedAt - now) / DEMAND_WINDOW_MS);
  }
}
