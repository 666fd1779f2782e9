import { AccountBudget } from '../core/routing/accountBudget';
import type { GrantRenewal } from '../core/routing/accountBudget';
import { computeEntryTimeoutMs } from '../core/routing/messageIntervals';
import { RecentCharges } from '../core/routing/recentCharges';
import type { RoutedAccount } from '../manifest/routing';
import type { WatchReply, WatchRequest } from '../protocol/generated/beechlift';

/** Fields of a watch request that tell of accounts. */
export type AccountPart = Pick<WatchRequest, 'spends' | 'recentCharges' | 'chargesEpoch' | 'knownEntries'>;

/**
 * Accounts at an entry: what it may admit itself, and what it has to tell a new leader about
 * charges under the earlier one.
 *
 * @example
 * if (!accounts.trySpend(account, cost, clock.now())) refuse('accountLimited');
 */
export class EntryAccounts {
  private readonly budget = new AccountBudget();

  private readonly recentCharges = new RecentCharges();

  /** Epoch of the last leader that knows all recent charges; empty before the first. */
  private chargesEpoch = '';

  /** Whether the leader is known. */
  private hasLeader = false;

  /** When the leader last renewed the grants, monotonic milliseconds. */
  private answeredAt = -Infinity;

  /** Time from which on the leader was seen to be silent, monotonic milliseconds. */
  private silentSince = -Infinity;

  /** Number of entries at the last leader. */
  private entryCount = 1;

  /** Applies the limits of a new routing document. */
  configure(accounts: readonly RoutedAccount[], now: number): void {
    this.recentCharges.configure(accounts, this.entryCount, now);
  }

  /** Charges a request that this entry decides on; returns false when the grant is used up. */
  trySpend(account: RoutedAccount, cost: number, now: number): boolean {
    const isCharged = this.budget.trySpend(account, cost, now, this.findRenewal(now));
    if (isCharged) this.recentCharges.record(account, cost, now);
    return isCharged;
  }

  /** Tries again to charge a request that was refused; its demand is counted already. */
  retrySpend(account: RoutedAccount, cost: number, now: number): boolean {
    const isCharged = this.budget.retrySpend(account, cost, now, this.findRenewal(now));
    if (isCharged) this.recentCharges.record(account, cost, now);
    return isCharged;
  }

  /**
   * Records what the leader charged for a request of this entry. It counts as demand, so that this
   * entry has a share for such requests if it has to decide on them itself.
   */
  recordPlaced(account: RoutedAccount, cost: number, now: number): void {
    this.recordDelegated(account, cost, now);
    if (account.perSecond > 0 && cost > 0) this.budget.recordDemand(account, cost, now);
  }

  /** Records what a delegate of the leader charged, which reports the demand itself. */
  recordDelegated(account: RoutedAccount, cost: number, now: number): void {
    this.recentCharges.record(account, cost, now);
  }

  /** Whether no leader renews the grants, so that one may soon allow more than they do. */
  isLeaderless(now: number): boolean {
    return this.findRenewal(now) === 'leaderless';
  }

  /** Estimates when a refused request of the account can be admitted, in milliseconds. */
  estimateRetryMs(account: RoutedAccount, cost: number, now: number): number {
    return this.budget.estimateRetryMs(account, this.findRenewal(now) === 'renewed' ? 0 : cost);
  }

  /**
   * Builds the fields of a watch request. Charges are told unless the leader is known to have them.
   *
   * @param epoch epoch of the leader's server table that this entry has a copy of
   */
  buildPart(epoch: string, now: number): AccountPart {
    const { chargesEpoch, entryCount, hasLeader } = this;
    const isKnown = chargesEpoch === '' || (hasLeader && chargesEpoch === epoch);
    return {
      spends: this.budget.listSpends(now),
      recentCharges: isKnown ? [] : this.recentCharges.list(entryCount, now),
      chargesEpoch,
      knownEntries: isKnown ? 0 : entryCount,
    };
  }

  /** Applies the grants in a reply of the leader. */
  applyReply({ grants, entryCount }: WatchReply, now: number): void {
    this.hasLeader = true;
    this.answeredAt = now;
    this.entryCount = Math.max(1, entryCount);
    this.budget.applyGrants(grants, now);
  }

  /** Records that a leader has received a request, and so what it tells. */
  recordTold({ knownEntries }: WatchRequest, { workersEpoch }: WatchReply): void {
    if (this.chargesEpoch === '' || knownEntries > 0) this.chargesEpoch = workersEpoch;
  }

  /** Records that the leader is not known any more, so that the next one may be another. */
  recordLostLeader(): void {
    this.hasLeader = false;
  }

  /** Records that the leader does not answer requests for slots since a time. */
  recordSilence(since: number): void {
    this.silentSince = Math.max(this.silentSince, since);
  }

  /*
   * A leader that is slow renews the grants all the same, and learns soon what they were overdrawn
   * by. One that has ended does not.
   */
  private findRenewal(now: number): GrantRenewal {
    const isRecent = now - this.answeredAt <= computeEntryTimeoutMs(this.entryCount);
    return this.hasLeader && isRecent && this.answeredAt > this.silentSince ? 'renewed' : 'leaderless';
  }
}
