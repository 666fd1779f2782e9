/** What is left of each account's limit over all entries, as the leader of control counts it. */
import type { AccountGrant, AccountSpend } from '../../protocol/generated/beechlift';
import type { RoutedAccount } from '../../manifest/routing';
import { computeReserve, noteDemand } from './accountDemand';
import type { AccountDemand } from './accountDemand';

/** What one entry reported of an account. */
interface EntrySpend {
  readonly total: number;
  /** Units that it asks for a second. */
  readonly demand: number;
  readonly heardAt: number;
}

interface LedgerLine {
  account: RoutedAccount;
  /** Units that may still be used; below zero they were overdrawn. */
  level: number;
  refilledAt: number;
  /** What each entry last reported. */
  readonly entries: Map<string, EntrySpend>;
  /** What all entries ask for a second, kept up with `entries`. */
  entryDemand: number;
  /** When entries were last looked through for silent ones. */
  expiredAt: number;
  /** What the requests that are decided on here ask for. */
  readonly demand: AccountDemand;
}

/**
 * Part of the slack that is added to the burst. The rest covers what cannot be known in time:
 * each entry may overdraw by one request, and an entry that was cut off may use up what it holds.
 */
const LENT_SLACK = 0.1;
/**
 * Part of the slack below an empty limit at which requests that are decided on here are still let
 * through. The last one may overdraw by its whole cost, for which the rest of the slack is kept.
 */
const OVERDRAFT_SLACK = 0.05;
/**
 * Part of the slack that entries are lent below that. With more, small requests at entries that
 * are cut off can take an account beyond its limit in a window.
 */
const SMALL_SLACK = 0.2;
/** Part of an account's burst that is kept for its higher ranks, at most. */
const MOST_RESERVED = 0.25;
/** Part of what is left that is shared evenly: an entry without demand can begin at once. */
const EVEN_PART = 0.4;
/** Units a second of all entries below which they ask for nothing. */
const LEAST_DEMAND = 0.001;
const MS_PER_SECOND = 1_000;
/** An entry that is silent for this long holds nothing any more: its lease is over. */
const ENTRY_KEPT_MS = 10_000;
/**
 * How often silent entries are looked for, in milliseconds: a tenth of what they are kept for. Done
 * with each question, it would grow with the square of the entries.
 */
const EXPIRE_MS = 1_000;

const makeLine = (account: RoutedAccount, now: number): LedgerLine => ({
  account,
  level: account.burst,
  refilledAt: now,
  entries: new Map(),
  entryDemand: 0,
  expiredAt: now,
  demand: new Map(),
});

const setSpend = (line: LedgerLine, entryId: string, spend: EntrySpend | undefined): void => {
  line.entryDemand += (spend?.demand ?? 0) - (line.entries.get(entryId)?.demand ?? 0);
  if (spend) line.entries.set(entryId, spend);
  else line.entries.delete(entryId);
};

const expireEntries = (line: LedgerLine, now: number): void => {
  if (now - line.expiredAt < EXPIRE_MS) return;
  line.expiredAt = now;
  line.entries.forEach(({ heardAt }, id) => {
    if (now - heardAt > ENTRY_KEPT_MS) setSpend(line, id, undefined);
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
  private readonly lines = new Map<string, LedgerLine>();

  /** @param slack units beyond the limits that the site allows within a window */
  constructor(private readonly slack: number) {}

  /** Takes over the accounts of a routing document; what was used of the same account stays. */
  configure(accounts: readonly RoutedAccount[], now: number): void {
    const names = new Set(accounts.map(({ name }) => name));
    this.lines.forEach((line, name) => {
      if (!names.has(name)) this.lines.delete(name);
    });
    accounts.filter(({ perSecond }) => perSecond > 0).forEach((account) => {
      const line = this.lines.get(account.name);
      if (!line) {
        this.lines.set(account.name, makeLine(account, now));
        return;
      }
      this.refill(line, now);
      line.account = account;
      line.level = Math.min(line.level, this.computeCapacity(account));
    });
  }

  /** Takes in what an entry let through. */
  noteSpends(entryId: string, spends: readonly AccountSpend[], now: number): void {
    spends.forEach(({ account, total, demand }) => {
      const line = this.lines.get(account);
      if (!line) return;
      this.refill(line, now);
      const before = line.entries.get(entryId);
      // An entry that this ledger did not know used its units under the leader before.
      if (before) line.level -= Math.max(0, total - before.total);
      setSpend(line, entryId, { total, demand, heardAt: now });
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
    const line = this.lines.get(name);
    // A second try of a request costs nothing: it was charged at its first, and is not refused now.
    if (!line || cost <= 0) return 0;
    this.refill(line, now);
    const { perSecond, burst } = line.account;
    noteDemand(line.demand, rank, cost, now);
    const reserve = Math.min(
      MOST_RESERVED * burst,
      computeReserve(line.demand, rank, perSecond, now),
    );
    const missing = reserve - line.level - OVERDRAFT_SLACK * this.slack;
    if (missing >= 0) return Math.max(1, (missing / perSecond) * MS_PER_SECOND);
    line.level -= cost;
    return 0;
  }

  /** Gives back what was charged for a request that was refused. */
  refund(name: string, cost: number): void {
    const line = this.lines.get(name);
    if (line) line.level += cost;
  }

  /** What an entry may let through of each limited account. */
  listGrants(entryId: string, entryCount: number, now: number): AccountGrant[] {
    return [...this.lines.values()].map((line) => {
      this.refill(line, now);
      return {
        account: line.account.name,
        units: this.computeLendable(line) * this.computeShare(line, entryId, entryCount),
        reportedTotal: line.entries.get(entryId)?.total ?? 0,
      };
    });
  }

  /*
   * Guards the small requests that entries decide on, of an account whose large ones use up its
   * limit here: what entries are lent reaches below the level that a large one leaves behind.
   */
  private computeLendable({ level }: LedgerLine): number {
    return Math.max(0, level + (OVERDRAFT_SLACK + SMALL_SLACK) * this.slack);
  }

  private computeCapacity({ burst }: RoutedAccount): number {
    return burst + LENT_SLACK * this.slack;
  }

  private computeShare(line: LedgerLine, entryId: string, entryCount: number): number {
    const even = 1 / Math.max(1, entryCount);
    // What is left of a sum after many steps may be a trace beside nothing.
    if (line.entryDemand < LEAST_DEMAND) return even;
    const part = (line.entries.get(entryId)?.demand ?? 0) / line.entryDemand;
    return EVEN_PART * even + (1 - EVEN_PART) * Math.min(1, part);
  }

  private refill(line: LedgerLine, now: number): void {
    const gained = ((now - line.refilledAt) / MS_PER_SECOND) * line.account.perSecond;
    line.level = Math.min(this.computeCapacity(line.account), line.level + gained);
    line.refilledAt = now;
    expireEntries(line, now);
  }
}
