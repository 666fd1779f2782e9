import {
  afterEach, describe, expect, it,
} from 'vitest';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';

const ALL = [0, 1, 2];
/** Less than the time after which a leader gives up a learner that does not answer. */
const MAX_REJOIN_MS = 2_000;

describe('a replica that joins', () => {
  let site: ControlSite | undefined;

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  // Fault: a replica that the leader had taken in before the replica itself had found the leader
  // knew no address to answer. The rounds of the leader kept it from searching, so it got no entry
  // until the leader had given it up.
  it('should catch up although its leader knew it first', async () => {
    const started = await ControlSite.open(3);
    site = started;
    await Promise.all(ALL.map((position) => started.start(position, true)));
    const leader = await started.waitForLeader();
    await started.findNode(leader)
      .publish({ document: formatDocument(5), deadlineMs: 3_000, forwarded: false });
    const lost = ALL.find((position) => position !== leader) ?? 0;
    await started.eraseDisk(lost);
    const self = await started.storeJoiner(lost);
    const { runner } = started.findNode(leader);
    started.findNode(leader).meet({ from: self, candidates: [] });
    await waitFor(() => runner.state.replicas.learners.some(({ id }) => id === self.id), 'the leader takes it in');
    const startedAt = performance.now();
    await started.start(lost, false);
    await waitFor(() => {
      const { voters } = runner.state.replicas;
      return voters.length === 3 && voters.some(({ id }) => id === self.id);
    }, 'it votes');
    expect(performance.now() - startedAt).toBeLessThan(MAX_REJOIN_MS);
    expect((await started.findNode(lost).readLatestDocument()).version).toBe(5n);
  });
});
