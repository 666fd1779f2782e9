import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { DepartureLog } from '../../src/control/departureLog';
import type { DepartureLogParts } from '../../src/control/departureLog';
import { WorkerRegistry } from '../../src/control/workerRegistry';
import { addDeparture, NO_DEPARTURES } from '../../src/core/routing/departures';
import { WatchRequest, WorkerAnnouncement, WorkerRecord } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import type { Clock } from '../../src/utils/clock';
import { HeldCalls } from '../../src/utils/heldCalls';

const BORN = 5;

const makeAnnouncement = (fields: Partial<WorkerAnnouncement>): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({
    workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', slots: 6, state: 'ready', sequence: 1, born: BORN, ...fields,
  }));

const makeDeparture = (fields: Partial<WorkerAnnouncement>, standing: string): WorkerRecord => (
  WorkerRecord.fromPartial({ said: makeAnnouncement(fields), standing }));

/** A leader's table of servers, and its departures, which every proposal agrees on. */
const makeDepartures = (clock: Clock): { registry: WorkerRegistry; departureLog: DepartureLog } => {
  const logger = makeLogger('test', 'silent');
  const registry = new WorkerRegistry({
    cachedWorkers: [],
    workerCache: { saveIfChanged: () => undefined },
    clock,
    logger,
    watches: new HeldCalls(),
    countEntries: () => 1,
  });
  const runner = {
    state: { role: 'leader' }, propose: () => Promise.resolve(true),
  } as unknown as DepartureLogParts['runner'];
  const departureLog = new DepartureLog({
    runner, registry, clock, logger,
  });
  return { registry, departureLog };
};

describe('the departures that a new leader restores', () => {
  let registry: WorkerRegistry;

  let departureLog: DepartureLog;

  let now = 0;

  const readStanding = (): string | undefined => registry.table.workers.get('w1')?.standing;

  /** Lets the replica begin to lead with the departures that it knows from the log. */
  const startLeading = (...records: readonly WorkerRecord[]): void => {
    departureLog.reset(records.reduce(addDeparture, NO_DEPARTURES));
    registry.startLeading();
    departureLog.restoreKnown();
  };

  beforeEach(() => {
    ({ registry, departureLog } = makeDepartures({ now: () => now }));
  });

  // A deregistration has no sequence number. The next leader had heard a later announcement than
  // the one that acknowledged the deregistration, and went on listing the server as ready.
  it('should include a server that is gone and whose later announcement is known', () => {
    registry.applyAnnouncement(makeAnnouncement({ sequence: 9 }));
    startLeading(makeDeparture({ sequence: 4, state: 'gone' }, 'gone'));
    expect(readStanding()).toBe('gone');
  });

  // The leader that acknowledged the deregistration did not know the server, nor its start time.
  it('should include a server that is gone and whose start time was not known', () => {
    registry.applyAnnouncement(makeAnnouncement({ sequence: 9 }));
    startLeading(WorkerRecord.fromPartial({ said: { workerId: 'w1', state: 'gone' }, standing: 'gone' }));
    expect([readStanding(), registry.table.workers.get('w1')?.said.born]).toEqual(['gone', BORN]);
  });

  // Entries that knew the server from an earlier leader were not told that it had left: the new
  // leader had lost its table, and the server announced itself no more.
  it('should include a server that the replica does not know', () => {
    startLeading(makeDeparture({ sequence: 4, state: 'gone' }, 'gone'));
    expect(registry.buildPart(WatchRequest.fromPartial({})).workers.map(({ standing }) => standing)).toEqual(['gone']);
  });

  // A server that ran was listed as gone for good after each change of leader: it had restarted
  // since its deregistration, which the log holds without a start time.
  it('should not include a deregistration without a start time after which the server restarted', () => {
    startLeading(WorkerRecord.fromPartial({ said: { workerId: 'w1', state: 'gone' }, standing: 'gone' }));
    now += 1_000;
    registry.applyAnnouncement(makeAnnouncement({ sequence: 1 }));
    now += 3_000;
    registry.applyAnnouncement(makeAnnouncement({ sequence: 3 }));
    const before = readStanding();
    registry.startLeading();
    departureLog.restoreKnown();
    expect([before, readStanding()]).toEqual(['ready', 'ready']);
  });

  it('should not include an older departure than the latest announcement', () => {
    registry.applyAnnouncement(makeAnnouncement({ sequence: 9 }));
    startLeading(makeDeparture({ sequence: 4, state: 'draining' }, 'draining'));
    expect(readStanding()).toBe('ready');
  });

  it('should not include the departure of an earlier incarnation', () => {
    registry.applyAnnouncement(makeAnnouncement({ sequence: 9 }));
    registry.applyAnnouncement(makeAnnouncement({ born: BORN + 1 }));
    startLeading(makeDeparture({ sequence: 9, state: 'gone' }, 'gone'));
    expect(readStanding()).toBe('ready');
  });
});

describe('the word of a server that it leaves', () => {
  const announceToLeader = async (...announcements: WorkerAnnouncement[]): Promise<boolean[]> => {
    const { registry, departureLog } = makeDepartures(systemClock);
    return Promise.all(announcements.map((announcement) => {
      registry.applyAnnouncement(announcement);
      return departureLog.ensureAgreed(announcement);
    }));
  };

  // The word of a server whose clock had gone back was acknowledged and ignored: it stayed listed
  // as ready, and got requests after it had left.
  it.each(['draining', 'gone'])('should not be acknowledged (%s) while the server stays ready', async (state) => {
    const taken = await announceToLeader(
      makeAnnouncement({ sequence: 9 }),
      makeAnnouncement({ sequence: 3, born: BORN - 1, state }),
    );
    expect(taken).toEqual([true, false]);
  });

  it('should be acknowledged if a later incarnation has replaced the server', async () => {
    const taken = await announceToLeader(
      makeAnnouncement({ sequence: 9 }),
      makeAnnouncement({ born: BORN + 1 }),
      makeAnnouncement({ sequence: 10, state: 'gone' }),
    );
    expect(taken).toEqual([true, true, true]);
  });

  it('should be acknowledged once the server is listed as leaving', async () => {
    const taken = await announceToLeader(
      makeAnnouncement({ sequence: 9 }),
      makeAnnouncement({ sequence: 10, state: 'draining' }),
      makeAnnouncement({ state: 'gone', sequence: 0 }),
    );
    expect(taken).toEqual([true, true, true]);
  });
});
