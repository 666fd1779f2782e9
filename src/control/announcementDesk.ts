import type { AnnounceReply, WorkerAnnouncement } from '../protocol/generated/beechlift';
import type { AnnouncementGate } from './announcementGate';
import type { LeaderWait } from './leaderWait';
import type { RoutedPort } from './routedNodeParts';
import type { SuspectKeeper } from './suspectKeeper';
import type { WatchView } from './watchDesk';
import type { WorkerRegistry } from './workerRegistry';
import type { WorkMeter } from './workMeter';

/**
 * How long an announcement waits for an election that is under way, in milliseconds: it still has
 * to reach the leader within its second.
 */
const LEADER_WAIT_MS = 250;

/** What the desk needs. */
export interface AnnouncementDeskParts {
  readonly gate: Pick<AnnouncementGate, 'check'>;
  readonly registry: Pick<WorkerRegistry, 'take'>;
  readonly suspects: Pick<SuspectKeeper, 'noteAnnounced'>;
  readonly leaderWait: Pick<LeaderWait, 'wait'>;
  readonly work: Pick<WorkMeter, 'measure'>;
  readonly readView: () => Pick<WatchView, 'isLeading' | 'otherLeader'>;
  readonly port: Pick<RoutedPort, 'announce'>;
}

/**
 * Where backend servers announce themselves: taken in by the leader, forwarded by the others.
 *
 * @example
 * const { taken } = await desk.announce(said, false);
 */
export class AnnouncementDesk {
  constructor(private readonly parts: AnnouncementDeskParts) {}

  /**
   * Takes in what a backend server said of itself; false when no leader could be told. Throws for
   * what no server of this site says.
   *
   * Guards a replica whose lease has lapsed, and two that take each other for the leader: neither
   * forwards to itself, nor what was forwarded to it.
   */
  async announce(said: WorkerAnnouncement, isForwarded: boolean): Promise<AnnounceReply> {
    const {
      gate, registry, suspects, leaderWait, work, readView, port,
    } = this.parts;
    gate.check(said);
    await leaderWait.wait(LEADER_WAIT_MS);
    const { isLeading, otherLeader } = readView();
    if (isLeading) {
      work.measure('announce', () => {
        registry.take(said);
        suspects.noteAnnounced(said);
      });
      return { taken: true };
    }
    if (isForwarded || otherLeader === '') return { taken: false };
    return port.announce(said, otherLeader);
  }
}
