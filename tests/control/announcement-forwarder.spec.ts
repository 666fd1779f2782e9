import { describe, expect, it } from 'vitest';
import { AnnouncementForwarder } from '../../src/control/announcementForwarder';
import { applyAnnouncement, makeWorkerTable } from '../../src/core/routing/workerTable';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';

const LEADER = '10.0.0.1:7100';
const OTHER_LEADER = '10.0.0.2:7100';

const makeAnnouncement = (id: number, fields: Partial<WorkerAnnouncement> = {}) => (
  WorkerAnnouncement.fromPartial({
    workerId: `w${id}`, service: 'rooms', address: `10.0.1.${id}:80`, slots: 4, state: 'ready', sequence: 1, ...fields,
  }));

/** A forwarder whose table knows servers 0 to 9 as ready, and the messages that it has sent. */
const makeForwarder = (answer = async (ids: readonly string[]) => ids.map(() => true)) => {
  const table = makeWorkerTable('epoch');
  Array.from({ length: 10 }, (_, id) => applyAnnouncement(table, makeAnnouncement(id), 0));
  const sent: { readonly address: string; readonly ids: readonly string[] }[] = [];
  const send = async (
    announcements: readonly WorkerAnnouncement[],
    address: string,
  ): Promise<{ taken: boolean }[]> => {
    const ids = announcements.map(({ workerId }) => workerId);
    sent.push({ address, ids });
    return (await answer(ids)).map((taken) => ({ taken }));
  };
  const forwarder = new AnnouncementForwarder({
    readTable: () => table,
    sendOne: async (announcement, address) => (
      (await send([announcement], address))[0] ?? { taken: false }),
    sendAll: async (announcements, address) => ({ replies: await send(announcements, address) }),
    logger: makeLogger('test', 'silent'),
  });
  return { forwarder, sent };
};

describe('announcements that a follower forwards', () => {
  // Each was a call of its own: eighty a second cost the leader as much as a quarter of its watch
  // requests.
  it('should share a message if they change nothing', async () => {
    const { forwarder, sent } = makeForwarder();
    const replies = await Promise.all([0, 1, 2].map((id) => (
      forwarder.forward(makeAnnouncement(id, { sequence: 2 }), LEADER))));
    expect(sent).toEqual([{ address: LEADER, ids: ['w0', 'w1', 'w2'] }]);
    expect(replies.map(({ taken }) => taken)).toEqual([true, true, true]);
  });

  // A server that leaves, or is new, waits for nothing.
  it.each([
    ['a server that leaves', makeAnnouncement(0, { state: 'draining', sequence: 2 })],
    ['a deregistration', WorkerAnnouncement.fromPartial({ workerId: 'w0', state: 'gone' })],
    ['an unknown server', makeAnnouncement(77)],
    ['another start', makeAnnouncement(0, { born: 9 })],
    ['another address', makeAnnouncement(0, { address: '10.0.9.9:80', sequence: 2 })],
  ])('should be sent at once and alone: %s', (name, announcement) => {
    const { forwarder, sent } = makeForwarder();
    forwarder.forward(announcement, LEADER).catch(() => undefined);
    expect(sent).toEqual([{ address: LEADER, ids: [announcement.workerId] }]);
  });

  it('should each get the reply to their own', async () => {
    const { forwarder } = makeForwarder(async (ids) => ids.map((id) => id !== 'w1'));
    const replies = await Promise.all([0, 1, 2].map((id) => (
      forwarder.forward(makeAnnouncement(id), LEADER))));
    expect(replies.map(({ taken }) => taken)).toEqual([true, false, true]);
  });

  it.each([
    ['fails', () => Promise.reject(new Error('deadline exceeded'))],
    ['answers too few', () => Promise.resolve([])],
  ])('should not count as taken if the leader %s', async (name, answer) => {
    const { forwarder } = makeForwarder(answer);
    const replies = await Promise.all([0, 1, 77].map((id) => (
      forwarder.forward(makeAnnouncement(id), LEADER))));
    expect(replies.map(({ taken }) => taken)).toEqual([false, false, false]);
  });

  it('should go to the leader that was known when they came', async () => {
    const { forwarder, sent } = makeForwarder();
    await Promise.all([
      forwarder.forward(makeAnnouncement(0), LEADER),
      forwarder.forward(makeAnnouncement(1), OTHER_LEADER),
    ]);
    expect(sent).toEqual([
      { address: LEADER, ids: ['w0'] }, { address: OTHER_LEADER, ids: ['w1'] },
    ]);
  });

  // Memory: a message has a bound, and a full one does not wait.
  it('should be sent at once when a hundred wait', async () => {
    const { forwarder, sent } = makeForwarder();
    Array.from({ length: 150 }, (_, count) => (
      forwarder.forward(makeAnnouncement(count % 10), LEADER)));
    expect(sent.map(({ ids }) => ids.length)).toEqual([100]);
  });
});
