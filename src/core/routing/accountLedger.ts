/** Remaining limit of each account over all entries, as tracked by the leader of control. */
import type { AccountCharges, AccountGrant, AccountSpend } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';
import { computeReserve, recordDemand } from './accountDemand';
import { isSameLimit, SLOT_COUNT, SLOT_MS } from './chargeSlots';
import {
  addCharge, addEarlierCharges, changeLimit, clearReports, computeUsedBefore, expireEntries,
  makeLedgerAccount, setSpend,
} from './ledgerAccount';
import type { LedgerAccount } from './ledgerAccount';

/**
 * Share of the slack that is added to the burst. The slack is the number of units by which accounts
 * may exceed their limits within a window. The rest of it covers what the leader learns too late:
 * each entry may overdraw by one request, and a disconnected entry may use up its grant.
 */
const BURST_SLACK_SHARE = 0.1;
/**
 * Share of the slack by which the balance may be negative while the leader still admits requests.
 * The last one may overdraw by its whole cost, for which the rest of the slack is reserved.
 */
const OVERDRAFT_SLACK_SHARE = 0.05;
/**
 * Share of the slack that is granted to entries in addition to the overdraft share. With a larger
 * share, small requests at disconnected entries could take an account over its limit in a window.
 */
const GRANT_SLACK_SHARE = 0.2;
/**
 * Share of the slack by which all entries together may exceed their grants while they reach no
 * leader. So much of a large request need not be granted.
 */
const ENTRY_OVERDRAFT_SLACK_SHARE = 0.2;
/**
 * Share of the slack that accounts may use as a burst while nobody can tell what they had used of
 * it. The rest covers what the other shares are for.
 */
const UNTOLD_SLACK_SHARE = 0.5;
/** Largest share of an account's burst that is reserved for its higher ranks. */
const MAX_RESERVE_SHARE = 0.25;
/** Share of grants that is divided evenly, so that an entry without demand can start at once. */
const EVEN_SHARE = 0.4;
/** Total units per second below which the entries count as having no demand. */
const MIN_TOTAL_DEMAND = 0.001;
const MS_PER_SECOND = 1_000;
/** Most accounts that have no limit any more and whose use is remembered. */
const MAX_SUSPENDED = 20_000;
/** Most entries whose reports on earlier charges are counted. */
const MAX_TOLD_ENTRIES = 2_000;
/**
 * Largest factor by which reported charges are scaled up for entries that have reported none: they
 * may have ended together with the earlier leader. Fewer than half of the entries tell too little.
 */
const MAX_UNTOLD_FACTOR = 2;

/** Charges under earlier leaders, as remembered by one entry. */
export interface EarlierCharges {
  readonly charges: readonly AccountCharges[];
  /** Number of entries that the entry knew at the earlier leader. */
  readonly entryCount: number;
  /** When the entry told them, monotonic milliseconds. */
  readonly toldAt: number;
}

/**
 * Grants the remaining limits to the entries, renewed with each of their watch requests. All grants
 * together add up to the remaining limit, so a limit applies over all entries. A disconnected entry
 * can use its last grant but no more.
 *
 * The ledger of a new leader begins with whole bursts, and learns from each entry what was charged
 * for it before. What remains is the lesser of two levels: that of a burst that was whole at the
 * start, and that of the burst that earlier charges had left then, with all that was refilled and
 * charged since. So a report that is late gives the same level as one in time. What is reported
 * counts for the entries that have not reported yet, too. Until half of them have, accounts get
 * their rate but no burst, for a short time.
 *
 * @example
 * ledger.configure(routing.accounts, now);
 * ledger.recordSpends('e1', request.spends, now);
 * reply.grants = ledger.listGrants('e1', entryCount, now);
 */
export class AccountLedger {
  private readonly accountsByName = new Map<string, LedgerAccount>();

  /** Accounts that had a limit and have none now. */
  private readonly suspendedByName = new Map<string, LedgerAccount>();

  /** Entries that have told what was charged for them before. */
  private readonly toldIds = new Set<string>();

  /** Replicas that charge accounts for the requests which they place. */
  private readonly delegateIds = new Set<string>();

  /** Number of entries that an earlier leader had, as far as known. */
  private earlierEntries = 0;

  /** Until when bursts count as used up while no entry has told anything. */
  private countedUntil = -Infinity;

  /** When entries that have told nothing are no longer waited for. */
  private learnsUntil = -Infinity;

  /**
   * @param slack units beyond the limits that the site allows within a window
   * @param learningMs time after the first report in which the others are waited for
   */
  constructor(private readonly slack: number, private readonly learningMs = 0) {}

  /** Whether too few entries of an earlier leader have told what was charged for them. */
  isLearning(now: number): boolean {
    return now < this.learnsUntil && this.untoldFactor > MAX_UNTOLD_FACTOR;
  }

  /**
   * Counts bursts as used under an earlier leader, but for what the slack covers, until an entry
   * tells what was used, or nothing of that counts any more. Nobody can tell if all entries ended
   * together with that leader.
   */
  countBurstsAsUsed(now: number): void {
    this.countedUntil = now + SLOT_COUNT * SLOT_MS;
  }

  /**
   * Records what was charged for an entry under earlier leaders; only its first report counts.
   *
   * @returns whether the report was counted
   */
  recordEarlier(
    entryId: string,
    { charges, entryCount, toldAt }: EarlierCharges,
    now: number,
  ): boolean {
    if (this.toldIds.has(entryId) || this.toldIds.size >= MAX_TOLD_ENTRIES) return false;
    if (this.toldIds.size === 0) this.learnsUntil = now + this.learningMs;
    this.toldIds.add(entryId);
    this.earlierEntries = Math.max(this.earlierEntries, entryCount);
    charges.forEach(({ account, units }) => {
      const state = this.accountsByName.get(account);
      if (state) addEarlierCharges(state, units, toldAt);
    });
    return true;
  }

  /**
   * Applies the accounts of a routing document. The document names all limits: an account that it
   * leaves out, or that has no limit in it, is not limited. What such an account had used counts if
   * a later document limits it again.
   */
  configure(accounts: readonly RoutedAccount[], now: number): void {
    const limited = accounts.filter(({ perSecond }) => perSecond > 0);
    const names = new Set(limited.map(({ name }) => name));
    [...this.accountsByName.values()]
      .filter(({ account }) => !names.has(account.name))
      .forEach((state) => this.suspend(state));
    limited.forEach((account) => this.applyLimit(account, now));
    this.dropUnused(now);
  }

  private applyLimit(account: RoutedAccount, now: number): void {
    const { name } = account;
    const state = this.accountsByName.get(name) ?? this.suspendedByName.get(name);
    this.suspendedByName.delete(name);
    this.accountsByName.set(name, state ?? makeLedgerAccount(account, now));
    if (!state || isSameLimit(state.account, account)) return;
    this.refill(state, now);
    changeLimit(state, account, (changed) => this.computeCapacity(changed));
  }

  private suspend(state: LedgerAccount): void {
    const { name } = state.account;
    this.accountsByName.delete(name);
    this.suspendedByName.set(name, state);
    clearReports(state);
  }

  /** Drops accounts without a limit whose bursts are whole again, or that are too many. */
  private dropUnused(now: number): void {
    this.suspendedByName.forEach((state, name) => {
      this.refill(state, now);
      const isWhole = state.balance >= this.computeCapacity(state.account);
      if (isWhole) this.suspendedByName.delete(name);
    });
    [...this.suspendedByName.keys()]
      .slice(0, Math.max(0, this.suspendedByName.size - MAX_SUSPENDED))
      .forEach((name) => this.suspendedByName.delete(name));
  }

  /** Records the units that an entry admitted. */
  recordSpends(entryId: string, spends: readonly AccountSpend[], now: number): void {
    this.recordTotals(entryId, spends, now, (units) => Math.max(0, units));
  }

  /** Records the units that a delegate charged, less those that it refunded. */
  recordDelegateSpends(
    delegateId: string,
    spends: readonly AccountSpend[],
    now: number,
  ): void {
    this.delegateIds.add(delegateId);
    this.recordTotals(delegateId, spends, now, (units) => units);
  }

  private recordTotals(
    spenderId: string,
    spends: readonly AccountSpend[],
    now: number,
    computeCharge: (units: number) => number,
  ): void {
    spends.forEach(({ account, total, demand }) => {
      const state = this.accountsByName.get(account);
      if (!state) return;
      this.refill(state, now);
      const previous = state.entries.get(spenderId);
      // An entry that is new to this ledger tells apart what it used under an earlier leader.
      if (previous) addCharge(state, computeCharge(total - previous.total));
      setSpend(state, spenderId, { total, demand, reportedAt: now });
    });
  }

  /**
   * Charges an account for a request that the leader decides on, exact to the unit. A request is
   * admitted as a whole while the balance is above the allowed overdraft; what it overdraws delays
   * later requests.
   *
   * If the full cost of a large request had to be available, such requests of an account over its
   * limit would hardly ever be admitted: small requests would use up the units first and occupy the
   * engines. Within a rank the order of arrival decides, whatever the size.
   *
   * Units that requests of higher ranks demand are reserved for them.
   *
   * @returns 0 when it was charged, otherwise milliseconds until it may be
   */
  charge(name: string, cost: number, rank: number, now: number): number {
    const state = this.accountsByName.get(name);
    // A retry costs nothing: it was charged at the first attempt and must not be refused now.
    if (!state || cost <= 0) return 0;
    this.refill(state, now);
    const { perSecond, burst } = state.account;
    recordDemand(state.demand, rank, cost, now);
    const reserve = Math.min(
      MAX_RESERVE_SHARE * burst,
      computeReserve(state.demand, rank, perSecond, now),
    );
    const deficit = reserve - this.computeLeft(state, now) - OVERDRAFT_SLACK_SHARE * this.slack;
    if (deficit >= 0) return Math.max(1, (deficit / perSecond) * MS_PER_SECOND);
    addCharge(state, cost);
    return 0;
  }

  /** Refunds the charge of a request that was refused later. */
  refund(name: string, cost: number): void {
    const state = this.accountsByName.get(name);
    if (state) addCharge(state, -cost);
  }

  /** Lists the grants of an entry or delegate for all limited accounts. */
  listGrants(entryId: string, entryCount: number, now: number): AccountGrant[] {
    return [...this.accountsByName.values()].map((state) => {
      this.refill(state, now);
      return {
        account: state.account.name,
        units: this.computeGrantable(state, now) * this.computeShare(state, entryId, entryCount),
        reportedTotal: state.entries.get(entryId)?.total ?? 0,
        overdraft: (ENTRY_OVERDRAFT_SLACK_SHARE * this.slack) / Math.max(1, entryCount),
        left: this.computeLeft(state, now),
        perSecond: state.account.perSecond,
        isExceeded: this.sumDelegateDemand(state) > state.account.perSecond,
      };
    });
  }

  /*
   * Guards against refusing small requests, which entries admit on their own, because large
   * requests have used up the account's limit here. Grants therefore allow a lower balance than the
   * leader's own overdraft does.
   */
  private computeGrantable(state: LedgerAccount, now: number): number {
    const left = this.computeLeft(state, now);
    return Math.max(0, left + (OVERDRAFT_SLACK_SHARE + GRANT_SLACK_SHARE) * this.slack);
  }

  /** Computes the units that may still be used; negative when overdrawn. */
  private computeLeft(state: LedgerAccount, now: number): number {
    const capacity = this.computeCapacity(state.account);
    const told = computeUsedBefore(state, Math.min(MAX_UNTOLD_FACTOR, this.untoldFactor));
    const usedBefore = Math.max(told, this.computeExpectedUse(capacity, now));
    return Math.min(state.balance, capacity - usedBefore - state.chargedSinceStart);
  }

  /** Computes what counts as used of a burst although no entry has told it. */
  private computeExpectedUse(capacity: number, now: number): number {
    if (this.isLearning(now)) return capacity;
    const isUntold = this.toldIds.size === 0 && now < this.countedUntil;
    return isUntold ? Math.max(0, capacity - UNTOLD_SLACK_SHARE * this.slack) : 0;
  }

  private sumDelegateDemand({ entries }: LedgerAccount): number {
    return [...this.delegateIds].reduce((total, id) => total + (entries.get(id)?.demand ?? 0), 0);
  }

  /** Entries of the earlier leader for each one that has told its charges; 1 at least. */
  private get untoldFactor(): number {
    return Math.max(1, this.earlierEntries / Math.max(1, this.toldIds.size));
  }

  private computeCapacity({ burst }: RoutedAccount): number {
    return burst + BURST_SLACK_SHARE * this.slack;
  }

  private computeShare(state: LedgerAccount, entryId: string, entryCount: number): number {
    const evenShare = 1 / Math.max(1, entryCount);
    // After many additions and subtractions, a sum of zero may leave a rounding error.
    if (state.entryDemand < MIN_TOTAL_DEMAND) return evenShare;
    const demandShare = (state.entries.get(entryId)?.demand ?? 0) / state.entryDemand;
    return EVEN_SHARE * evenShare + (1 - EVEN_SHARE) * Math.min(1, demandShare);
  }

  private refill(state: LedgerAccount, now: number): void {
    const refill = ((now - state.refilledAt) / MS_PER_SECOND) * state.account.perSecond;
    state.balance = Math.min(this.computeCapacity(state.account), state.balance + refill);
    state.chargedSinceStart -= refill;
    state.refilledAt = now;
    expireEntries(state, now);
  }
}
