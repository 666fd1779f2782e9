import { describe, expect, it } from 'vitest';
import type { BeechliftError } from '../../src/errors/beechliftError';
import { WatchReply } from '../../src/protocol/generated/beechlift';
import type { PlaceClient } from '../../src/relay/placeClient';
import type { RelaySite } from '../../src/relay/relaySite';
import { WorkerPicker } from '../../src/relay/workerPicker';
import { systemClock } from '../../src/utils/clock';
import { FixedLeader } from '../fakes/fixedLeader';
import {
  engineRouting, makePick, makeRecord, makeSite,
} from '../fakes/pickerSite';
import { NO_CONNECTIONS } from '../fakes/relayRig';
import { makeAccount, makeRouting } from '../fakes/routings';

describe('WorkerPicker without a leader', () => {
  const account = makeAccount({ perSecond: 1_000, burst: 1_000 });

  /** Picks for a request of 700 units, whose entry has a grant of 500. */
  const pickOverGrant = (
    silentRequests: number,
    isAbandoned = () => false,
    onPick: (site: RelaySite) => void = () => undefined,
  ) => {
    const site = makeSite(engineRouting, [makeRecord('w1', 'ready')], systemClock);
    site.accounts.applyReply(WatchReply.fromPartial({
      workersEpoch: 'x', entryCount: 1, grants: [{ account: 'lobby', units: 500, overdraft: 100 }],
    }), systemClock.now());
    site.accounts.recordSilence(systemClock.now() + 1);
    const leader = new FixedLeader('w1', silentRequests);
    const picker = new WorkerPicker({
      site,
      placeClient: leader as unknown as PlaceClient,
      connections: NO_CONNECTIONS,
      clock: systemClock,
    });
    const request = makePick(isAbandoned, () => undefined);
    const picked = picker.pick({
      ...request,
      admitted: { ...request.admitted, account },
      facts: {
        ...request.facts, maxWaitMs: 2_400, tokens: { prompt: 600, output: 100, expected: 100 },
      },
      deadlineAt: systemClock.now() + 5_000,
    }).then(
      (result) => result?.placeId,
      ({ code, detail }: BeechliftError) => ({ code, ...detail }),
    );
    onPick(site);
    return { leader, picked };
  };

  // Fault: an entry overdrew its grant by a request of any size while no leader answered.
  it('should let a request that does not fit into the grant wait for the next leader', async () => {
    const { leader, picked } = pickOverGrant(2);
    expect(await picked).toMatch(/./u);
    expect(leader.avoided).toHaveLength(3);
  });

  it('should refuse it as not run if no leader comes', async () => {
    const { leader, picked } = pickOverGrant(100);
    expect(await picked).toMatchObject({ code: 'accountLimited', retryAfterMs: 450 });
    expect(leader.avoided.length).toBeLessThanOrEqual(4);
  });

  it('should choose a server itself once the grant is renewed', async () => {
    const { leader, picked } = pickOverGrant(100, () => false, (site) => {
      setTimeout(() => site.accounts.applyReply(WatchReply.fromPartial({
        workersEpoch: 'x', entryCount: 1, grants: [{ account: 'lobby', units: 900, overdraft: 0 }],
      }), systemClock.now()), 50);
    });
    expect(await picked).toBe('');
    expect(leader.avoided).toHaveLength(2);
  });

  it.each([
    ['wait while no leader renews the grants', 101, ''],
    ['be refused at once while a leader does', -1, 'accountLimited'],
  ])('should let a request for a service that no leader places %s', async (name, silentMs, expected) => {
    const site = makeSite(makeRouting({
      services: [{ name: 'rooms', maxConnections: 0, isEngine: false }], accounts: [],
    }), [makeRecord('w1', 'ready')], systemClock);
    const renew = (units: number) => site.accounts.applyReply(WatchReply.fromPartial({
      workersEpoch: 'x', entryCount: 1, grants: [{ account: 'lobby', units }],
    }), systemClock.now());
    renew(0);
    site.accounts.recordSilence(systemClock.now() + silentMs);
    const leader = new FixedLeader('w1');
    const picker = new WorkerPicker({
      site,
      placeClient: leader as unknown as PlaceClient,
      connections: NO_CONNECTIONS,
      clock: systemClock,
    });
    const request = makePick(() => false, () => undefined);
    const picked = picker.pick({
      ...request,
      admitted: { ...request.admitted, account },
      deadlineAt: systemClock.now() + 5_000,
    }).then((result) => result?.placeId, ({ code }: BeechliftError) => code);
    setTimeout(() => renew(900), 150);
    expect(await picked).toBe(expected);
    expect(leader.avoided).toEqual([]);
  });

  it('should end the wait when the caller leaves', async () => {
    let isAbandoned = false;
    const { leader, picked } = pickOverGrant(100, () => isAbandoned);
    setTimeout(() => {
      isAbandoned = true;
    }, 50);
    expect(await picked).toBeUndefined();
    expect(leader.avoided.length).toBeLessThanOrEqual(2);
  });
});
