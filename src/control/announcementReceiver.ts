import type {
  AnnounceBatch, AnnounceReply, AnnounceResults, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import { ImmediateTask } from '../utils/immediateTask';
import type { ServerStream } from '../wire/rpcServer';

/** Dependencies of a receiver. */
export interface AnnouncementReceiverParts {
  readonly stream: Pick<ServerStream<AnnounceBatch, AnnounceResults>, 'send'>;
  /** Applies an announcement; rejects if it cannot be from a server of this site. */
  readonly announce: (announcement: WorkerAnnouncement) => Promise<AnnounceReply>;
  /** Counts and logs an announcement that was rejected. */
  readonly countRefusal: (thrown: unknown, workerId: string) => void;
}

/**
 * Receives the announcements that another replica forwards over a stream, and sends the results:
 * those of one turn of the event loop in one message.
 *
 * @example
 * stream.listen(new AnnouncementReceiver({ stream, announce, countRefusal }));
 */
export class AnnouncementReceiver {
  private results: AnnounceResults = { taken: [], refused: [] };

  private isOpen = true;

  private readonly flushTask = new ImmediateTask(() => this.flush());

  constructor(private readonly parts: AnnouncementReceiverParts) {}

  /** Handles a message. */
  readonly take = ({ firstNumber, announcements }: AnnounceBatch): void => {
    announcements.forEach((announcement, index) => this.apply(firstNumber + index, announcement));
  };

  /** Ends the results with the stream. */
  readonly close = (): void => {
    this.isOpen = false;
  };

  private apply(number: number, announcement: WorkerAnnouncement): void {
    this.parts.announce(announcement)
      .then(({ taken }) => this.record(number, taken))
      .catch((thrown: unknown) => {
        this.parts.countRefusal(thrown, announcement.workerId);
        this.record(number, false);
      });
  }

  private record(number: number, isTaken: boolean): void {
    this.results[isTaken ? 'taken' : 'refused'].push(number);
    this.flushTask.schedule();
  }

  private flush(): void {
    const { results } = this;
    this.results = { taken: [], refused: [] };
    if (this.isOpen) this.parts.stream.send(results);
  }
}
