/** What an entry remembers of charges to accounts, so that it can tell a new leader of control. */
import type { AccountCharges } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';
import {
  adjustCharges, computeUsedBurst, isSameLimit, SLOT_COUNT, SLOT_MS,
} from './chargeSlots';
import type { SlotLimit } from './chargeSlots';

/** Recent charges to one account. */
interface AccountSlots {
  account: RoutedAccount;
  /** Units per slot, newest first. */
  units: readonly number[];
  /** Number of the newest slot since the clock's origin. */
  newest: number;
}

const MS_PER_SECOND = 1_000;
/** Limit on the number of accounts; the one that was charged least recently is dropped. */
const MAX_ACCOUNTS = 20_000;
/** Most accounts that are told to a new leader: those that used most of their bursts. */
const MAX_TOLD = 100;
/** An account is not told if all entries together leave out less than this share of its burst. */
const UNTOLD_BURST_SHARE = 0.1;

const findSlot = (now: number): number => Math.floor(now / SLOT_MS);

/** Computes the share of an entry in a limit. An account without a burst has that of one slot. */
const computeShare = ({ perSecond, burst }: RoutedAccount, entryCount: number): SlotLimit => ({
  perSecond: perSecond / Math.max(1, entryCount),
  burst: Math.max(burst, (perSecond * SLOT_MS) / MS_PER_SECOND),
});

const advanceSlots = ({ units, newest }: AccountSlots, slot: number): readonly number[] => {
  const passed = Math.min(SLOT_COUNT, Math.max(0, slot - newest));
  return passed === 0 ? units : [...Array<number>(passed).fill(0), ...units].slice(0, SLOT_COUNT);
};

/**
 * Remembers what this entry charged to accounts within their grants, and what the leader charged
 * for its requests. A leader keeps the levels of accounts in memory: the next one computes them
 * from what the entries tell it.
 *
 * @example
 * recentCharges.record(account, cost, clock.now());
 * const told = recentCharges.list(entryCount, clock.now());
 */
export class RecentCharges {
  private readonly slotsByAccount = new Map<string, AccountSlots>();

  /** Records a charge. */
  record(account: RoutedAccount, cost: number, now: number): void {
    if (account.perSecond <= 0 || cost <= 0) return;
    const slot = findSlot(now);
    const previous = this.slotsByAccount.get(account.name);
    const [current = 0, ...earlier] = previous ? advanceSlots(previous, slot) : [];
    // Deleted first, so that the order of the map is that of the last charges.
    this.slotsByAccount.delete(account.name);
    this.slotsByAccount.set(account.name, {
      account, units: [current + cost, ...earlier], newest: slot,
    });
    this.dropOldest(slot);
  }

  /**
   * Applies the limits of a new version: what was charged has used up the same share of the new
   * burst as of the old one.
   */
  configure(accounts: readonly RoutedAccount[], entryCount: number, now: number): void {
    const newest = findSlot(now);
    accounts.filter(({ perSecond }) => perSecond > 0).forEach((account) => {
      const slots = this.slotsByAccount.get(account.name);
      if (!slots || isSameLimit(slots.account, account)) return;
      slots.units = adjustCharges(
        advanceSlots(slots, newest),
        computeShare(slots.account, entryCount),
        computeShare(account, entryCount),
      );
      slots.newest = newest;
      slots.account = account;
    });
  }

  /** Number of accounts that are remembered. */
  get size(): number {
    return this.slotsByAccount.size;
  }

  /**
   * Lists the accounts whose bursts are used up in part. One that used up less at this entry than
   * its share of the rate refills is left out, so that the list stays short on large sites.
   */
  list(entryCount: number, now: number): AccountCharges[] {
    const slot = findSlot(now);
    const share = 1 / Math.max(1, entryCount);
    return [...this.slotsByAccount.values()]
      .map((slots) => {
        const { account, account: { perSecond, burst } } = slots;
        const units = advanceSlots(slots, slot);
        const used = computeUsedBurst(units, perSecond * share) / Math.max(1, burst);
        return { account: account.name, units, used };
      })
      .filter(({ used }) => used > UNTOLD_BURST_SHARE * share)
      .sort((a, b) => b.used - a.used)
      .slice(0, MAX_TOLD)
      .map(({ account, units }) => ({ account, units: [...units] }));
  }

  /** Drops the account that was charged least recently, if that is long ago or one too many. */
  private dropOldest(slot: number): void {
    const [oldest] = this.slotsByAccount.values();
    if (!oldest) return;
    const isOld = slot - oldest.newest >= SLOT_COUNT;
    if (isOld || this.slotsByAccount.size > MAX_ACCOUNTS) {
      this.slotsByAccount.delete(oldest.account.name);
    }
  }
}
