import { describe, expect, it } from 'vitest';
import { WatchReply, WatchRequest } from '../../src/protocol/generated/beechlift';
import { EntryAccounts } from '../../src/relay/entryAccounts';
import { makeAccount } from '../fakes/routings';

const account = makeAccount({ perSecond: 1_000, burst: 1_000 });

/** An entry's accounts, and the epoch of the leader that it follows. */
class EntryRig {
  readonly accounts = new EntryAccounts();

  epoch = '';

  request(now = 0): WatchRequest {
    return WatchRequest.fromPartial(this.accounts.buildPart(this.epoch, now));
  }

  /** Applies a reply of a leader; returns the request that it answers. */
  follow(epoch: string, now = 0): WatchRequest {
    const request = this.request(now);
    const reply = WatchReply.fromPartial({
      workersEpoch: epoch, entryCount: 3, grants: [{ account: 'lobby', units: 500, overdraft: 100 }],
    });
    this.accounts.applyReply(reply, now);
    this.accounts.recordTold(request, reply);
    this.epoch = epoch;
    return request;
  }
}

describe('the accounts of an entry', () => {
  it('should tell charges only to a leader that may not know them', () => {
    const rig = new EntryRig();
    expect(rig.follow('l1')).toMatchObject({ recentCharges: [], knownEntries: 0 });
    rig.accounts.recordPlaced(account, 400, 0);
    expect(rig.accounts.trySpend(account, 300, 0)).toBe(true);
    expect(rig.request()).toMatchObject({ recentCharges: [], knownEntries: 0 });
    rig.accounts.recordLostLeader();
    expect(rig.follow('l2')).toMatchObject({
      recentCharges: [{ account: 'lobby', units: [700] }], chargesEpoch: 'l1', knownEntries: 3,
    });
    expect(rig.request()).toMatchObject({ recentCharges: [], chargesEpoch: 'l2', knownEntries: 0 });
  });

  it('should tell them in the next request to a leader that it took for the earlier one', () => {
    const rig = new EntryRig();
    rig.follow('l1');
    rig.accounts.recordPlaced(account, 400, 0);
    expect(rig.follow('l2').recentCharges).toEqual([]);
    expect(rig.follow('l2')).toMatchObject({
      recentCharges: [{ account: 'lobby', units: [400] }], chargesEpoch: 'l1',
    });
  });

  it('should name the leader that knows them when it finds that one again', () => {
    const rig = new EntryRig();
    rig.follow('l1');
    rig.accounts.recordPlaced(account, 400, 0);
    rig.accounts.recordLostLeader();
    expect(rig.request()).toMatchObject({ chargesEpoch: 'l1', knownEntries: 3 });
  });

  // Fault: each entry overdrew its last grant by a request of any size while no leader answered.
  it('should admit no more than the grant and a small overdraft while the leader is silent', () => {
    const rig = new EntryRig();
    rig.follow('l1', 1_000);
    rig.accounts.recordSilence(1_100);
    expect(rig.accounts.trySpend(account, 700, 1_100)).toBe(false);
    expect(rig.accounts.estimateRetryMs(account, 700, 1_100)).toBeGreaterThanOrEqual(200);
    expect(rig.accounts.retrySpend(account, 600, 1_100)).toBe(true);
    expect(rig.accounts.retrySpend(account, 1, 1_100)).toBe(false);
  });

  it('should let one request overdraw the grant of a leader that is slow but answers', () => {
    const rig = new EntryRig();
    rig.follow('l1', 1_000);
    rig.accounts.recordSilence(900);
    expect(rig.accounts.trySpend(account, 50_000, 1_100)).toBe(true);
    expect(rig.accounts.trySpend(account, 1, 1_100)).toBe(false);
  });

  it('should count a grant that was not renewed for long as one of a silent leader', () => {
    const rig = new EntryRig();
    rig.follow('l1', 1_000);
    expect(rig.accounts.trySpend(account, 50_000, 3_000)).toBe(false);
  });

  // A leader of the release before names no overdraft.
  it('should keep to the grant if the leader named no overdraft', () => {
    const rig = new EntryRig();
    rig.accounts.applyReply(WatchReply.fromPartial({ grants: [{ account: 'lobby', units: 500 }] }), 0);
    rig.accounts.recordLostLeader();
    expect(rig.accounts.trySpend(account, 501, 0)).toBe(false);
    expect(rig.accounts.trySpend(account, 500, 0)).toBe(true);
  });
});
