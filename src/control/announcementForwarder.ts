import { isUnchanged } from '../core/routing/workerTable';
import type { WorkerTable } from '../core/routing/workerTable';
import { toBeechliftError } from '../errors/beechliftError';
import type {
  AnnounceReply, AnnounceReplies, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';

/**
 * How long an announcement that changes nothing waits for others, in milliseconds: far less than
 * the second in which a server expects its acknowledgement.
 */
const BATCH_DELAY_MS = 100;
/** Most announcements in one message. */
const MAX_BATCH_SIZE = 100;

const NOT_TAKEN: AnnounceReply = { taken: false };

/** An announcement that waits for others to the same leader. */
interface WaitingAnnouncement {
  readonly announcement: WorkerAnnouncement;
  readonly resolve: (reply: AnnounceReply) => void;
}

/** Dependencies of the forwarder. */
export interface AnnouncementForwarderParts {
  /** Returns this replica's copy of the leader's table. */
  readonly readTable: () => WorkerTable;
  /** Sends one announcement to the leader at a gRPC address. */
  readonly sendOne: (announcement: WorkerAnnouncement, address: string) => Promise<AnnounceReply>;
  /** Sends several; the replies are in their order. */
  readonly sendAll: (
    announcements: readonly WorkerAnnouncement[],
    address: string,
  ) => Promise<AnnounceReplies>;
  readonly logger: Logger;
}

/**
 * Forwards announcements of backend servers to the leader. Those that change nothing, which are
 * nearly all, share a message: each message costs the leader the same, whatever it holds.
 *
 * @example
 * const { taken } = await forwarder.forward(announcement, '10.0.0.2:7100');
 */
export class AnnouncementForwarder {
  private readonly batches = new Map<string, WaitingAnnouncement[]>();

  constructor(private readonly parts: AnnouncementForwarderParts) {}

  /** Forwards an announcement; `taken` is false if the leader cannot be reached. Never rejects. */
  forward(announcement: WorkerAnnouncement, address: string): Promise<AnnounceReply> {
    if (!isUnchanged(this.parts.readTable(), announcement)) {
      return this.parts.sendOne(announcement, address)
        .catch((thrown: unknown) => this.logFailure(thrown, [announcement]));
    }
    return new Promise((resolve) => {
      const batch = this.findBatch(address);
      batch.push({ announcement, resolve });
      if (batch.length >= MAX_BATCH_SIZE) this.flush(address, batch);
    });
  }

  private findBatch(address: string): WaitingAnnouncement[] {
    const open = this.batches.get(address);
    if (open) return open;
    const batch: WaitingAnnouncement[] = [];
    this.batches.set(address, batch);
    setTimeout(() => this.flush(address, batch), BATCH_DELAY_MS).unref();
    return batch;
  }

  private flush(address: string, batch: readonly WaitingAnnouncement[]): void {
    // A full batch was sent before its time.
    if (this.batches.get(address) !== batch) return;
    this.batches.delete(address);
    const announcements = batch.map(({ announcement }) => announcement);
    this.parts.sendAll(announcements, address)
      .catch((thrown: unknown): AnnounceReplies => {
        this.logFailure(thrown, announcements);
        return { replies: [] };
      })
      .then(({ replies }) => {
        batch.forEach(({ resolve }, position) => resolve(replies[position] ?? NOT_TAKEN));
      })
      .catch(() => undefined); // Never rejects.
  }

  private logFailure(thrown: unknown, announcements: readonly WorkerAnnouncement[]): AnnounceReply {
    this.parts.logger.warn('announcements could not be forwarded', {
      worker: announcements[0]?.workerId,
      count: announcements.length,
      reason: toBeechliftError(thrown).message,
    });
    return NOT_TAKEN;
  }
}
