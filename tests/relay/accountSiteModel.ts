import prand from 'pure-rand';
import { AccountLedger } from '../../src/core/routing/accountLedger';
import { WatchReply, WatchRequest } from '../../src/protocol/generated/beechlift';
import { EntryAccounts } from '../../src/relay/entryAccounts';
import { makeAccount } from '../fakes/routings';

export const RATE = 68_176;
export const SLACK = 190_000;
export const WINDOW_MS = 8_000;
export const account = makeAccount({ perSecond: RATE, burst: RATE });
/** Most units that may be used in any window, over all entries and leaders. */
export const MOST = (RATE * (WINDOW_MS / 1_000) + RATE) * 1.1 + SLACK;

/** Interval of an entry's watch requests, in milliseconds. */
const ASK_MS = 200;
/** When an entry notices that a leader hangs, in milliseconds. */
const NOTICE_MS = 250;
/** How long a request waits for a leader, in milliseconds. */
const WAIT_MS = 1_500;
const STEP_MS = 10;
/** How long a new leader waits for what entries tell, in milliseconds. */
export const LEARNING_MS = 500;

/** A change of the leader. */
export interface LeaderChange {
  /** Time since the last leader began, in milliseconds. */
  readonly afterMs: number;
  /** Time without a leader, in milliseconds. */
  readonly gapMs: number;
  /** Whether the last leader hangs; otherwise its connections end. */
  readonly hangs: boolean;
  /** Entries that end with it and come back as new processes. */
  readonly lostEntries: number;
}

/** A request of the account at an entry. */
export interface Arrival {
  readonly at: number;
  readonly entry: number;
  readonly cost: number;
}

/** Outcome of a run. */
export interface ModelResult {
  readonly used: readonly Arrival[];
  readonly refused: readonly Arrival[];
  /** When the first entry could reach each leader. */
  readonly starts: readonly number[];
}

interface Waiting { readonly arrival: Arrival; readonly until: number }

interface Leader {
  readonly epoch: string;
  readonly startedAt: number;
  readonly ledger: AccountLedger;
}

/** Leaders that follow each other, and entries that charge one account. */
class AccountSiteModel {
  readonly result = { used: [] as Arrival[], refused: [] as Arrival[], starts: [] as number[] };

  private readonly entries: { accounts: EntryAccounts; id: string; epoch: string }[];

  private leader: Leader | undefined;

  private endedAt = 0;

  /** When the entries notice that the last leader has ended. */
  private noticedAt = 0;

  private waiting: Waiting[] = [];

  private lastId = 0;

  constructor(entryCount: number, private readonly spreadMs: number) {
    this.entries = Array.from({ length: entryCount }, () => this.makeEntry());
    this.startLeader(0);
  }

  startLeader(now: number): void {
    const ledger = new AccountLedger(SLACK, LEARNING_MS);
    ledger.configure([account], now);
    this.leader = { epoch: `l${now}`, startedAt: now, ledger };
    this.result.starts.push(Math.max(now, this.noticedAt));
  }

  endLeader({ hangs, lostEntries }: LeaderChange, now: number): void {
    this.leader = undefined;
    this.endedAt = now;
    this.noticedAt = now + (hangs ? NOTICE_MS : 0);
    if (!hangs) this.recordLost(now);
    Array.from({ length: lostEntries }, (unused, position) => position).forEach((position) => {
      this.entries[position] = this.makeEntry();
    });
  }

  step(now: number, arrivals: readonly Arrival[]): void {
    if (this.noticedAt > this.endedAt && now === this.noticedAt) this.recordLost(this.endedAt);
    this.entries.forEach((unused, position) => {
      const delaySteps = (this.spreadMs * position) / this.entries.length / STEP_MS;
      const delayMs = Math.floor(delaySteps) * STEP_MS;
      const since = now - Math.max(this.leader?.startedAt ?? 0, this.noticedAt) - delayMs;
      if (since >= 0 && since % ASK_MS === 0) this.watch(position, now);
    });
    const due = [
      ...this.waiting,
      ...arrivals.map((arrival) => ({ arrival, until: now + WAIT_MS })),
    ];
    this.waiting = [];
    due.forEach((item) => this.decide(item, now));
  }

  private makeEntry() {
    this.lastId += 1;
    return { accounts: new EntryAccounts(), id: `e${this.lastId}`, epoch: '' };
  }

  private recordLost(since: number): void {
    this.entries.forEach(({ accounts }) => {
      accounts.recordSilence(since);
      accounts.recordLostLeader();
    });
  }

  private watch(position: number, now: number): void {
    const entry = this.entries[position];
    if (!entry || !this.leader) return;
    const { epoch, ledger } = this.leader;
    const request = WatchRequest.fromPartial(entry.accounts.buildPart(entry.epoch, now));
    if (request.knownEntries > 0 && request.chargesEpoch !== epoch) {
      ledger.recordEarlier(entry.id, {
        charges: request.recentCharges, entryCount: request.knownEntries, toldAt: now,
      }, now);
    }
    ledger.recordSpends(entry.id, request.spends, now);
    const keepsGrants = request.knownEntries > 0 && ledger.isLearning(now);
    const reply = WatchReply.fromPartial({
      workersEpoch: epoch,
      entryCount: this.entries.length,
      grants: keepsGrants ? [] : ledger.listGrants(entry.id, this.entries.length, now),
    });
    entry.epoch = epoch;
    entry.accounts.applyReply(reply, now);
    entry.accounts.recordTold(request, reply);
  }

  private decide({ arrival, until }: Waiting, now: number): void {
    const entry = this.entries[arrival.entry % this.entries.length];
    if (!entry) return;
    const isKnown = this.leader !== undefined && entry.epoch === this.leader.epoch;
    if (now < this.noticedAt) {
      this.waiting.push({ arrival, until });
    } else if (this.leader && isKnown) {
      const isCharged = this.leader.ledger.charge(account.name, arrival.cost, 0, now) === 0;
      if (isCharged) entry.accounts.recordPlaced(account, arrival.cost, now);
      (isCharged ? this.result.used : this.result.refused).push({ ...arrival, at: now });
    } else if (entry.accounts.trySpend(account, arrival.cost, now)) {
      this.result.used.push({ ...arrival, at: now });
    } else if (now < until) {
      this.waiting.push({ arrival, until });
    } else {
      this.result.refused.push({ ...arrival, at: now });
    }
  }
}

/** Plays arrivals through entries and a sequence of leaders. */
export const simulate = (
  entryCount: number,
  arrivals: readonly Arrival[],
  changes: readonly LeaderChange[],
  durationMs: number,
  spreadMs = 100,
): ModelResult => {
  const model = new AccountSiteModel(entryCount, spreadMs);
  const byStep = new Map<number, Arrival[]>();
  arrivals.forEach((arrival) => {
    const step = Math.ceil(arrival.at / STEP_MS) * STEP_MS;
    byStep.set(step, [...byStep.get(step) ?? [], arrival]);
  });
  const events = new Map<number, () => void>();
  changes.reduce((from, change) => {
    const endAt = from + Math.ceil(change.afterMs / STEP_MS) * STEP_MS;
    const startAt = endAt + Math.ceil(change.gapMs / STEP_MS) * STEP_MS;
    events.set(endAt, () => model.endLeader(change, endAt));
    events.set(startAt, () => model.startLeader(startAt));
    return startAt;
  }, 0);
  Array.from({ length: durationMs / STEP_MS }, (unused, step) => step * STEP_MS).forEach((now) => {
    events.get(now)?.();
    model.step(now, byStep.get(now) ?? []);
  });
  return model.result;
};

/** Draws arrivals whose demand is some times the account's rate. */
export const drawArrivals = (
  seed: number,
  costs: readonly number[],
  times: number,
  durationMs: number,
): Arrival[] => {
  const generator = prand.xoroshiro128plus(seed);
  const draw = (most: number) => prand.unsafeUniformIntDistribution(0, most, generator);
  const mean = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
  const count = Math.round((times * RATE * durationMs) / 1_000 / mean);
  return Array.from({ length: count }, (unused, position) => ({
    at: draw(durationMs - 1), entry: draw(1_000_000), cost: costs[position % costs.length] ?? 1,
  })).sort((a, b) => a.at - b.at);
};

/** Leaves out what takes the account over its limit. */
export const keepWithinLimit = (arrivals: readonly Arrival[]): Arrival[] => {
  let level = RATE;
  let filledAt = 0;
  return arrivals.filter(({ at, cost }) => {
    level = Math.min(RATE, level + ((at - filledAt) / 1_000) * RATE);
    filledAt = at;
    if (level < cost) return false;
    level -= cost;
    return true;
  });
};

/**
 * Lists the refused requests that the account's limit had covered whole, counting all that was used
 * until then. Requests that waited for a leader are used later than they arrived, so that an
 * account may be over its limit then although it was not before.
 */
export const listUnjustRefusals = ({ used, refused }: ModelResult): Arrival[] => {
  const charges = [...used].sort((a, b) => a.at - b.at);
  return refused.filter(({ at, cost }) => {
    const { level, filledAt } = charges.filter((use) => use.at <= at).reduce((bucket, use) => ({
      level: Math.min(RATE, bucket.level + ((use.at - bucket.filledAt) / 1_000) * RATE) - use.cost,
      filledAt: use.at,
    }), { level: RATE, filledAt: 0 });
    return Math.min(RATE, level + ((at - filledAt) / 1_000) * RATE) >= cost;
  });
};

/** Finds the most units that were used in one window. */
export const findMostInWindow = (used: readonly Arrival[]): number => {
  const sorted = [...used].sort((a, b) => a.at - b.at);
  return sorted.reduce((most, { at }, first) => {
    const sum = sorted.slice(first).filter((use) => use.at < at + WINDOW_MS)
      .reduce((total, { cost }) => total + cost, 0);
    return Math.max(most, sum);
  }, 0);
};
