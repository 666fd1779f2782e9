import type { AnnounceReply, WorkerAnnouncement } from '../protocol/generated/beechlift';
import { isSignOfLife } from '../core/routing/workerTable';
import type { AnnouncementValidator } from './announcementValidator';
import type { DepartureLog } from './departureLog';
import type { LeaderWait } from './leaderWait';
import type { RoutedPort } from './routedNodeParts';
import type { SuspectRegistry } from './suspectRegistry';
import type { ReplicaView } from './watchService';
import type { WorkerRegistry } from './workerRegistry';
import type { WorkMeter } from './workMeter';

/**
 * How long an announcement waits for an election in progress, in milliseconds. It must still reach
 * the leader within the second that a backend server waits for an acknowledgement.
 */
const LEADER_WAIT_MS = 250;

/** Least number of servers whose announcements the leader leaves to the other replicas. */
const MIN_LEFT_SERVERS = 40;

/** Dependencies of the announcement service. */
export interface AnnouncementServiceParts {
  readonly validator: Pick<AnnouncementValidator, 'check'>;
  readonly registry: Pick<WorkerRegistry, 'applyAnnouncement' | 'table'>;
  readonly suspects: Pick<SuspectRegistry, 'handleAnnouncement'>;
  readonly departures: Pick<DepartureLog, 'ensureAgreed' | 'restoreMissing'>;
  readonly leaderWait: Pick<LeaderWait, 'wait'>;
  readonly work: Pick<WorkMeter, 'measure'>;
  readonly readView: () => Pick<ReplicaView, 'isLeading' | 'otherLeaderAddress'>;
  readonly port: Pick<RoutedPort, 'announce'>;
  /** Lists the addresses of the replicas that follow this one. */
  readonly listFollowers: () => readonly string[];
}

/**
 * Receives the announcements of backend servers: the leader applies them, followers forward them.
 *
 * @example
 * const { taken } = await announcementService.announce(announcement, false);
 */
export class AnnouncementService {
  constructor(private readonly parts: AnnouncementServiceParts) {}

  /**
   * Applies or forwards an announcement; `taken` is false if no leader received it, or if it says
   * that the server leaves and no majority knows that. Throws if the announcement cannot be from a
   * server of this site.
   *
   * To prevent loops, a replica never forwards to itself, even if its lease has lapsed, and never
   * forwards what was forwarded to it, as two replicas may each consider the other the leader.
   */
  async announce(announcement: WorkerAnnouncement, isForwarded: boolean): Promise<AnnounceReply> {
    const {
      validator, registry, suspects, departures, leaderWait, work, readView, port,
    } = this.parts;
    validator.check(announcement);
    await leaderWait.wait(LEADER_WAIT_MS);
    const { isLeading, otherLeaderAddress } = readView();
    if (isLeading) {
      const { workerId } = announcement;
      work.measure('announce', () => {
        departures.restoreMissing(workerId);
        registry.applyAnnouncement(announcement);
        suspects.handleAnnouncement(announcement);
      });
      return { taken: await departures.ensureAgreed(announcement) };
    }
    if (isForwarded || otherLeaderAddress === '') return { taken: false };
    return port.announce(
      announcement,
      otherLeaderAddress,
      isSignOfLife(registry.table, announcement),
    );
  }

  /**
   * Picks a replica for the later announcements of a server; empty if it may stay with this one. On
   * sites with many servers the leader would spend much of its processor time on their calls,
   * while the other replicas have little to do and forward announcements together.
   *
   * @param draw at least 0 and less than 1: divides the servers among the replicas
   */
  pickReceiver(draw = Math.random()): string {
    const { registry, readView, listFollowers } = this.parts;
    if (registry.table.workers.size < MIN_LEFT_SERVERS || !readView().isLeading) return '';
    const followers = listFollowers();
    return followers[Math.floor(draw * followers.length)] ?? '';
  }
}
