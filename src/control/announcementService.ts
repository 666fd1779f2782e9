import type { AnnounceReply, WorkerAnnouncement } from '../protocol/generated/beechlift';
import type { AnnouncementValidator } from './announcementValidator';
import type { LeaderWait } from './leaderWait';
import type { RoutedPort } from './routedNodeParts';
import type { SuspectRegistry } from './suspectRegistry';
import type { ReplicaView } from './watchService';
import type { WorkerRegistry } from './workerRegistry';
import type { WorkMeter } from './workMeter';

/**
 * How long an announcement waits for an election that is under way, in milliseconds: it still has
 * to reach the leader within its second.
 */
const LEADER_WAIT_MS = 250;

/** What the desk needs. */
export interface AnnouncementServiceParts {
  readonly gate: Pick<AnnouncementValidator, 'check'>;
  readonly registry: Pick<WorkerRegistry, 'take'>;
  readonly suspects: Pick<SuspectRegistry, 'noteAnnounced'>;
  readonly leaderWait: Pick<LeaderWait, 'wait'>;
  readonly work: Pick<WorkMeter, 'measure'>;
  readonly readView: () => Pick<ReplicaView, 'isLeading' | 'otherLeader'>;
  readonly port: Pick<RoutedPort, 'announce'>;
}

/**
 * Where backend servers announce themselves: taken in by the leader, forwarded by the others.
 *
 * @example
 * const { taken } = await desk.announce(said, false);
 */
export class AnnouncementService {
  constructor(private readonly parts: AnnouncementServiceParts) {}

  /**
   * Takes in what a backend server said of itself; false when no leader could be told. Throws for
   * what no server of this site says.
   *
   * Guards a replica whose lease has lapsed, and two that take each other for the leader: neither
   * forwards to itself, nor what was forwarded to it.
   */
  async announce(announcement: WorkerAnnouncement, isForwarded: boolean): Promise<AnnounceReply> {
    const {
      gate, registry, suspects, leaderWait, work, readView, port,
    } = this.parts;
    gate.check(announcement);
    await leaderWait.wait(LEADER_WAIT_MS);
    const { isLeading, otherLeader: otherLeaderAddress } = readView();
    if (isLeading) {
      work.measure('announce', () => {
        registry.take(announcement);
        suspects.noteAnnounced(announcement);
      });
      return { taken: true };
    }
    if (isForwarded || otherLeaderAddress === '') return { taken: false };
    return port.announce(announcement, otherLeaderAddress);
  }
}
