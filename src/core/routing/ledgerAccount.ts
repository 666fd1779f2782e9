/** One account in the ledger of a leader: what is left of its limit, and who asks for it. */
import type { RoutedAccount } from '../../manifest/routing';
import type { AccountDemand } from './accountDemand';
import {
  adjustCharges, computeUsedBurst, SLOT_COUNT, SLOT_MS,
} from './chargeSlots';

/** Latest report of one entry on an account. */
export interface EntrySpend {
  readonly total: number;
  /** Requested units per second. */
  readonly demand: number;
  readonly reportedAt: number;
}

/** State of one account at the leader of control. */
export interface LedgerAccount {
  account: RoutedAccount;
  /** Units left of a burst that was whole when this ledger began; negative when overdrawn. */
  balance: number;
  refilledAt: number;
  readonly startedAt: number;
  /** Units charged since the start, less all that the rate has refilled since. */
  chargedSinceStart: number;
  /** Units charged under earlier leaders, per slot before the start, newest first. */
  chargedBefore: readonly number[];
  /** Units of the burst that these had used up at the start, as computed for a factor. */
  usedBefore: { readonly factor: number; readonly units: number };
  /** Latest report of each entry. */
  readonly entries: Map<string, EntrySpend>;
  /** Requested units per second of all entries, updated together with `entries`. */
  entryDemand: number;
  /** When entries were last checked for expiry. */
  expiryCheckedAt: number;
  /** Demand of the requests that the leader decides on itself. */
  readonly demand: AccountDemand;
}

/** Time without reports after which an entry's grant is void: its lease has ended. */
const ENTRY_RETENTION_MS = 10_000;
/**
 * How often entries are checked for expiry, in milliseconds: a tenth of their retention. A check on
 * each watch request would take quadratic time in the number of entries.
 */
const EXPIRY_INTERVAL_MS = 1_000;

const NOTHING_USED = { factor: 0, units: 0 };

/** Makes the state of an account whose burst is whole. */
export const makeLedgerAccount = (account: RoutedAccount, now: number): LedgerAccount => ({
  account,
  balance: account.burst,
  refilledAt: now,
  startedAt: now,
  chargedSinceStart: 0,
  chargedBefore: [],
  usedBefore: NOTHING_USED,
  entries: new Map(),
  entryDemand: 0,
  expiryCheckedAt: now,
  demand: new Map(),
});

/**
 * Puts another limit in force. The share of the burst that is left stays the same. So what was used
 * still counts when a limit is lowered and raised again, and a lower limit does not count in full
 * what a higher one had allowed.
 *
 * @param computeCapacity returns the most units that may be left of an account
 */
export const changeLimit = (
  state: LedgerAccount,
  account: RoutedAccount,
  computeCapacity: (account: RoutedAccount) => number,
): void => {
  const from = { perSecond: state.account.perSecond, burst: computeCapacity(state.account) };
  const to = { perSecond: account.perSecond, burst: computeCapacity(account) };
  const ratio = to.burst / Math.max(1, from.burst);
  // What is overdrawn does not grow with the limit.
  const adjustLevel = (level: number) => level * (level < 0 ? Math.min(1, ratio) : ratio);
  state.account = account;
  state.balance = adjustLevel(state.balance);
  state.chargedSinceStart = to.burst - adjustLevel(from.burst - state.chargedSinceStart);
  state.chargedBefore = adjustCharges(state.chargedBefore, from, to);
  state.usedBefore = NOTHING_USED;
};

/** Forgets who asked: what is asked while there is no limit does not count when there is one. */
export const clearReports = (state: LedgerAccount): void => {
  state.entries.clear();
  state.demand.clear();
  state.entryDemand = 0;
};

/** Replaces the report of an entry, or removes it. */
export const setSpend = (
  account: LedgerAccount,
  entryId: string,
  spend: EntrySpend | undefined,
): void => {
  account.entryDemand += (spend?.demand ?? 0) - (account.entries.get(entryId)?.demand ?? 0);
  if (spend) account.entries.set(entryId, spend);
  else account.entries.delete(entryId);
};

/** Removes the reports of entries whose leases have ended. */
export const expireEntries = (account: LedgerAccount, now: number): void => {
  if (now - account.expiryCheckedAt < EXPIRY_INTERVAL_MS) return;
  account.expiryCheckedAt = now;
  account.entries.forEach(({ reportedAt }, id) => {
    if (now - reportedAt > ENTRY_RETENTION_MS) setSpend(account, id, undefined);
  });
};

/** Charges units; negative ones are refunded. */
export const addCharge = (state: LedgerAccount, units: number): void => {
  state.balance -= units;
  state.chargedSinceStart += units;
};

/** Adds the charges that an entry tells; before the start another leader decided. */
export const addEarlierCharges = (
  state: LedgerAccount,
  units: readonly number[],
  toldAt: number,
): void => {
  const before = Array.from({ length: SLOT_COUNT }, (unused, slot) => (
    state.chargedBefore[slot] ?? 0));
  units.slice(0, SLOT_COUNT).forEach((charged, age) => {
    if (!Number.isFinite(charged) || charged <= 0) return;
    const slot = Math.round((state.startedAt - toldAt) / SLOT_MS) + age;
    if (slot < 0) addCharge(state, charged);
    else if (slot < SLOT_COUNT) before[slot] = (before[slot] ?? 0) + charged;
  });
  state.chargedBefore = before;
  state.usedBefore = NOTHING_USED;
};

/** Computes what was used of the burst at the start; `factor` scales the charges that were told. */
export const computeUsedBefore = (state: LedgerAccount, factor: number): number => {
  if (state.chargedBefore.length === 0) return 0;
  if (state.usedBefore.factor !== factor) {
    const units = factor * computeUsedBurst(state.chargedBefore, state.account.perSecond / factor);
    state.usedBefore = { factor, units };
  }
  return state.usedBefore.units;
};
