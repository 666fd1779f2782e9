/** What is left of each account's limit over all entries, as the leader of control counts it. */
import type { AccountGrant, AccountSpend } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';
import { computeReserve, recordDemand } from './accountDemand';
import type { AccountDemand } from './accountDemand';

/** What one entry reported of an account. */
interface EntrySpend {
  readonly total: number;
  /** Units that it asks for a second. */
  readonly demand: number;
  readonly reportedAt: number;
}

interface LedgerAccount {
  account: RoutedAccount;
  /** Units that may still be used; below zero they were overdrawn. */
  balance: number;
  refilledAt: number;
  /** What each entry last reported. */
  readonly entries: Map<string, EntrySpend>;
  /** What all entries ask for a second, kept up with `entries`. */
  entryDemand: number;
  /** When entries were last looked through for silent ones. */
  expiryCheckedAt: number;
  /** What the requests that are decided on here ask for. */
  readonly demand: AccountDemand;
}

/**
 * Part of the slack that is added to the burst. The rest covers what cannot be known in time:
 * each entry may overdraw by one request, and an entry that was cut off may use up what it holds.
 */
const BURST_SLACK_SHARE = 0.1;
/**
 * Part of the slack below an empty limit at which requests that are decided on here are still let
 * through. The last one may overdraw by its whole cost, for which the rest of the slack is kept.
 */
const OVERDRAFT_SLACK_SHARE = 0.05;
/**
 * Part of the slack that entries are lent below that. With more, small requests at entries that
 * are cut off can take an account beyond its limit in a window.
 */
const GRANT_SLACK_SHARE = 0.2;
/** Part of an account's burst that is kept for its higher ranks, at most. */
const MAX_RESERVE_SHARE = 0.25;
/** Part of what is left that is shared evenly: an entry without demand can begin at once. */
const EVEN_SHARE = 0.4;
/** Units a second of all entries below which they ask for nothing. */
const MIN_TOTAL_DEMAND = 0.001;
const MS_PER_SECOND = 1_000;
/** An entry that is silent for this long holds nothing any more: its lease is over. */
const ENTRY_RETENTION_MS = 10_000;
/**
 * How often silent entries are looked for, in milliseconds: a tenth of what they are kept for. Done
 * with each question, it would grow with the square of the entries.
 */
const EXPIRY_INTERVAL_MS = 1_000;

const makeLedgerAccount = (account: RoutedAccount, now: number): LedgerAccount => ({
  account,
  balance: account.burst,
  refilledAt: now,
  entries: new Map(),
  entryDemand: 0,
  expiryCheckedAt: now,
  demand: new Map(),
});

const setSpend = (line: LedgerAccount, entryId: string, spend: EntrySpend | undefined): void => {
  line.entryDemand += (spend?.demand ?? 0) - (line.entries.get(entryId)?.demand ?? 0);
  if (spend) line.entries.set(entryId, spend);
  else line.entries.delete(entryId);
};

const expireEntries = (line: LedgerAccount, now: number): void => {
  if (now - line.expiryCheckedAt < EXPIRY_INTERVAL_MS) return;
  line.expiryCheckedAt = now;
  line.entries.forEach(({ reportedAt: heardAt }, id) => {
    if (now - heardAt > ENTRY_RETENTION_MS) setSpend(line, id, undefined);
  });
};

/**
 * Lends what is left of limits to the entries, anew with each of their questions. As all that is
 * lent at a time adds up to what is left, a limit holds over all entries, also over one that is cut
 * off: it can use what it was lent last and no more.
 *
 * @example
 * ledger.configure(routing.accounts, now);
 * ledger.noteSpends('e1', request.spends, now);
 * reply.grants = ledger.listGrants('e1');
 */
export class AccountLedger {
  private readonly accountsByName = new Map<string, LedgerAccount>();

  /** @param slack units beyond the limits that the site allows within a window */
  constructor(private readonly slack: number) {}

  /** Takes over the accounts of a routing document; what was used of the same account stays. */
  configure(accounts: readonly RoutedAccount[], now: number): void {
    const names = new Set(accounts.map(({ name }) => name));
    this.accountsByName.forEach((line, name) => {
      if (!names.has(name)) this.accountsByName.delete(name);
    });
    accounts.filter(({ perSecond }) => perSecond > 0).forEach((account) => {
      const line = this.accountsByName.get(account.name);
      if (!line) {
        this.accountsByName.set(account.name, makeLedgerAccount(account, now));
        return;
      }
      this.refill(line, now);
      line.account = account;
      line.balance = Math.min(line.balance, this.computeCapacity(account));
    });
  }

  /** Takes in what an entry let through. */
  recordSpends(entryId: string, spends: readonly AccountSpend[], now: number): void {
    spends.forEach(({ account, total, demand }) => {
      const line = this.accountsByName.get(account);
      if (!line) return;
      this.refill(line, now);
      const before = line.entries.get(entryId);
      // An entry that this ledger did not know used its units under the leader before.
      if (before) line.balance -= Math.max(0, total - before.total);
      setSpend(line, entryId, { total, demand, reportedAt: now });
    });
  }

  /**
   * Charges an account for a request that is decided on here, to the unit. One that comes while
   * anything is left, down to a part of the slack below an empty limit, is let through whole: its
   * rest is owed by those after it.
   *
   * Guards the large requests of an account beyond its limit. Let through only where all of their
   * cost was left, they hardly ever are, as small ones use up each unit before and then fill the
   * engines. Within a rank the order of arrival decides, whatever the size.
   *
   * Above a rank go the ranks before it, as everywhere: a lower one leaves them what they ask for.
   *
   * @returns 0 when it was charged, otherwise milliseconds until it may be
   */
  charge(name: string, cost: number, rank: number, now: number): number {
    const line = this.accountsByName.get(name);
    // A second try of a request costs nothing: it was charged at its first, and is not refused now.
    if (!line || cost <= 0) return 0;
    this.refill(line, now);
    const { perSecond, burst } = line.account;
    recordDemand(line.demand, rank, cost, now);
    const reserve = Math.min(
      MAX_RESERVE_SHARE * burst,
      computeReserve(line.demand, rank, perSecond, now),
    );
    const missing = reserve - line.balance - OVERDRAFT_SLACK_SHARE * this.slack;
    if (missing >= 0) return Math.max(1, (missing / perSecond) * MS_PER_SECOND);
    line.balance -= cost;
    return 0;
  }

  /** Gives back what was charged for a request that was refused. */
  refund(name: string, cost: number): void {
    const line = this.accountsByName.get(name);
    if (line) line.balance += cost;
  }

  /** What an entry may let through of each limited account. */
  listGrants(entryId: string, entryCount: number, now: number): AccountGrant[] {
    return [...this.accountsByName.values()].map((line) => {
      this.refill(line, now);
      return {
        account: line.account.name,
        units: this.computeGrantable(line) * this.computeShare(line, entryId, entryCount),
        reportedTotal: line.entries.get(entryId)?.total ?? 0,
      };
    });
  }

  /*
   * Guards the small requests that entries decide on, of an account whose large ones use up its
   * limit here: what entries are lent reaches below the level that a large one leaves behind.
   */
  private computeGrantable({ balance: level }: LedgerAccount): number {
    return Math.max(0, level + (OVERDRAFT_SLACK_SHARE + GRANT_SLACK_SHARE) * this.slack);
  }

  private computeCapacity({ burst }: RoutedAccount): number {
    return burst + BURST_SLACK_SHARE * this.slack;
  }

  private computeShare(line: LedgerAccount, entryId: string, entryCount: number): number {
    const even = 1 / Math.max(1, entryCount);
    // What is left of a sum after many steps may be a trace beside nothing.
    if (line.entryDemand < MIN_TOTAL_DEMAND) return even;
    const part = (line.entries.get(entryId)?.demand ?? 0) / line.entryDemand;
    return EVEN_SHARE * even + (1 - EVEN_SHARE) * Math.min(1, part);
  }

  private refill(line: LedgerAccount, now: number): void {
    const gained = ((now - line.refilledAt) / MS_PER_SECOND) * line.account.perSecond;
    line.balance = Math.min(this.computeCapacity(line.account), line.balance + gained);
    line.refilledAt = now;
    expireEntries(line, now);
  }
}
