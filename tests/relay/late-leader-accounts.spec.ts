import { describe, expect, it } from 'vitest';
import { AccountLedger } from '../../src/core/routing/accountLedger';
import { WatchReply, WatchRequest } from '../../src/protocol/generated/beechlift';
import { EntryAccounts } from '../../src/relay/entryAccounts';
import { makeAccount } from '../fakes/routings';

const ENTRY_COUNT = 78;
const RATE = 112_000;
const SLACK = 190_000;
/** Cost of plain requests and of model requests, in tokens. */
const SMALL = 200;
const LARGE = 4_000;
const STEP_MS = 400;
/** Number of entries with callers of the account that send model requests. */
const BUSY_COUNT = 8;
const account = makeAccount({ perSecond: RATE, burst: RATE });

/** Entries that follow one leader, which decides on the model requests of an account. */
class AccountRig {
  now = 0;

  private readonly ledger = new AccountLedger(SLACK);

  readonly entries = Array.from({ length: ENTRY_COUNT }, () => new EntryAccounts());

  readonly busy = this.entries.slice(0, BUSY_COUNT);

  constructor() {
    this.ledger.configure([account], 0);
  }

  /** Lets entries serve their callers for a step, and exchange with the leader after it. */
  runStep(): void {
    this.entries.slice(BUSY_COUNT).forEach((entry) => entry.trySpend(account, SMALL, this.now));
    this.busy.forEach((entry) => {
      if (this.ledger.charge(account.name, LARGE, 0, this.now) === 0) {
        entry.recordPlaced(account, LARGE, this.now);
      }
    });
    this.now += STEP_MS;
    this.entries.forEach((entry, position) => this.follow(entry, `e${position}`));
  }

  private follow(entry: EntryAccounts, entryId: string): void {
    const { spends } = WatchRequest.fromPartial(entry.buildPart('l1', this.now));
    this.ledger.recordSpends(entryId, spends, this.now);
    entry.applyReply(WatchReply.fromPartial({
      workersEpoch: 'l1',
      entryCount: ENTRY_COUNT,
      grants: this.ledger.listGrants(entryId, ENTRY_COUNT, this.now),
    }), this.now);
  }
}

describe('an account within its limit whose requests the leader decides on', () => {
  // Fault: what the leader had charged was no demand, so the entry's share fitted no such request.
  it('should get a request admitted at each of its entries once the leader is silent', () => {
    const rig = new AccountRig();
    Array.from({ length: 10 }).forEach(() => rig.runStep());
    rig.busy.forEach((entry) => entry.recordSilence(rig.now + 1));
    const admitted = rig.busy.filter((entry) => entry.trySpend(account, LARGE, rig.now + 300));
    expect(admitted).toHaveLength(BUSY_COUNT);
  });

  it('should not be charged at the leader twice for what it has placed', () => {
    const rig = new AccountRig();
    rig.runStep();
    const totals = rig.busy.map((entry) => entry.buildPart('l1', rig.now).spends);
    expect(totals.flat().every(({ total }) => total === 0)).toBe(true);
  });
});
