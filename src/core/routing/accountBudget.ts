/** How an account's limit, which holds over all entries together, is kept at one of them. */
import type { AccountDemand, AccountShare } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';

/** What the site allows beyond an account's own limits, over all entries together. */
export interface LimitSlack {
  /** In the unit of the account, within a window. */
  readonly slack: number;
}

interface Bucket {
  level: number;
  refilledAt: number;
  /** Smoothed demand a second. */
  demand: number;
  demandAt: number;
}

/** Part of the slack that is handed out: the rest covers entries that start with a full bucket. */
const USED_SLACK = 0.5;
const MS_PER_SECOND = 1_000;
/** Time over which demand is smoothed. */
const DEMAND_WINDOW_MS = 2_000;

/**
 * Token buckets by account. Each holds this entry's share of rate, burst and slack; a request is
 * admitted while its bucket is not empty and may overdraw it once, which later requests repay, so
 * that a large request of an account within its limit is not refused.
 *
 * @example
 * if (!budget.take(account, tokens, clock.now())) refuse('accountLimited');
 */
export class AccountBudget {
  private readonly buckets = new Map<string, Bucket>();

  private shares = new Map<string, number>();

  constructor(
    private readonly slack: LimitSlack,
    private readonly readEntryCount: () => number,
  ) {}

  /** Takes in the shares that the leader of control computed from the demand at all entries. */
  applyShares(shares: readonly AccountShare[]): void {
    this.shares = new Map(shares.map(({ account, share }) => [account, share]));
  }

  /** Takes what a request costs; false when the account's share is used up. */
  take(account: RoutedAccount, cost: number, now: number): boolean {
    const bucket = this.findBucket(account, now);
    this.noteDemand(bucket, cost, now);
    if (account.perSecond <= 0) return true;
    this.refill(account, bucket, now);
    if (bucket.level <= 0) return false;
    bucket.level -= cost;
    return true;
  }

  /** Milliseconds until the account's share holds something again. */
  estimateWaitMs(account: RoutedAccount): number {
    const level = this.buckets.get(account.name)?.level ?? 0;
    const perSecond = account.perSecond * this.findShare(account.name);
    return level > 0 ? 0 : ((1 - level) / Math.max(1, perSecond)) * MS_PER_SECOND;
  }

  /** What was asked of this entry of late. */
  listDemands(now: number): AccountDemand[] {
    return [...this.buckets].map(([account, bucket]) => ({
      account, perSecond: this.fade(bucket, now),
    }));
  }

  private findShare(account: string): number {
    return this.shares.get(account) ?? 1 / Math.max(1, this.readEntryCount());
  }

  private computeCapacity(account: RoutedAccount): number {
    const slack = this.slack.slack * USED_SLACK;
    return (account.burst + slack) * this.findShare(account.name);
  }

  private findBucket(account: RoutedAccount, now: number): Bucket {
    const known = this.buckets.get(account.name);
    if (known) return known;
    const bucket = {
      level: this.computeCapacity(account), refilledAt: now, demand: 0, demandAt: now,
    };
    this.buckets.set(account.name, bucket);
    return bucket;
  }

  private refill(account: RoutedAccount, bucket: Bucket, now: number): void {
    const perMs = (account.perSecond * this.findShare(account.name)) / MS_PER_SECOND;
    const gained = (now - bucket.refilledAt) * perMs;
    bucket.level = Math.min(this.computeCapacity(account), bucket.level + gained);
    bucket.refilledAt = now;
  }

  private fade(bucket: Bucket, now: number): number {
    return bucket.demand * Math.exp((bucket.demandAt - now) / DEMAND_WINDOW_MS);
  }

  private noteDemand(bucket: Bucket, cost: number, now: number): void {
    bucket.demand = this.fade(bucket, now) + cost / (DEMAND_WINDOW_MS / MS_PER_SECOND);
    bucket.demandAt = now;
  }
}

/** What an entry asked for, as the leader of control knows it. */
export interface EntryDemand {
  readonly entryId: string;
  readonly demands: readonly AccountDemand[];
}

/** Part of each limit that is shared evenly, so that an entry without demand can begin at once. */
const EVEN_PART = 0.4;

/**
 * Computes an entry's share of each account's limit: a part evenly, the rest by demand. The shares
 * of all entries add up to one.
 *
 * @example
 * reply.shares = computeShares(demands, 'e1');
 */
export const computeShares = (
  entries: readonly EntryDemand[],
  entryId: string,
): AccountShare[] => {
  const totals = new Map<string, number>();
  entries.forEach(({ demands }) => demands.forEach(({ account, perSecond }) => {
    totals.set(account, (totals.get(account) ?? 0) + perSecond);
  }));
  const own = new Map(entries.find((entry) => entry.entryId === entryId)?.demands
    .map(({ account, perSecond }) => [account, perSecond]));
  const even = 1 / Math.max(1, entries.length);
  return [...totals].map(([account, total]) => ({
    account,
    share: total > 0
      ? EVEN_PART * even + (1 - EVEN_PART) * ((own.get(account) ?? 0) / total)
      : even,
  }));
};
