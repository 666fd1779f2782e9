import type {
  AnnounceBatch, AnnounceReply, AnnounceResults, SiteClient, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { ImmediateTask } from '../utils/immediateTask';
import type { ClientStream, RpcLink } from '../wire/rpcLink';

/** Time without a result after which an announcement is not taken; servers wait one second. */
const TIMEOUT_MS = 700;
/** Longest time that an announcement waits to share a message with others, in milliseconds. */
const GATHER_MS = 100;
/** Time without a result after which the connection is replaced, in milliseconds. */
const SILENCE_MS = 1_000;
/** Most announcements that wait at a time; more are not taken, and their servers repeat them. */
const MAX_WAITING = 5_000;

/** An announcement without a result. */
interface WaitingAnnouncement {
  readonly announcement: WorkerAnnouncement;
  /** Settles it once; without a reason it was taken. */
  readonly settle: (failure?: string) => void;
}

/** The stream to the leader, and the announcements that were sent on it. */
interface OpenStream {
  readonly stream: ClientStream<AnnounceBatch>;
  /** Number of the last announcement that was sent. */
  lastNumber: number;
  /** By number, until the result arrives. */
  readonly sent: Map<number, WaitingAnnouncement>;
  /** Time since which a result is due, monotonic milliseconds. */
  resultDueSince: number;
}

/** Dependencies of an announcement stream. */
export interface AnnouncementStreamParts {
  readonly link: Pick<RpcLink<SiteClient>, 'openStream'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Forwards announcements of backend servers to the leader over one stream. Those that only say that
 * a server runs are gathered: as single calls they would take a large part of the leader's
 * processor time, more with each server.
 *
 * @example
 * const { taken } = await announcementStream.announce(announcement, true);
 */
export class AnnouncementStream {
  private queued: WaitingAnnouncement[] = [];

  private open: OpenStream | undefined;

  private gatherTimer: NodeJS.Timeout | undefined;

  private readonly flushTask = new ImmediateTask(() => this.flush());

  constructor(private readonly parts: AnnouncementStreamParts) {}

  /**
   * Resolves with whether the leader took the announcement.
   *
   * @param mayWait whether it only says that the server runs, and may share a later message
   */
  announce(announcement: WorkerAnnouncement, mayWait: boolean): Promise<AnnounceReply> {
    return new Promise((resolve) => {
      const waiting = this.makeWaiting(announcement, resolve);
      if (this.queued.length + (this.open?.sent.size ?? 0) >= MAX_WAITING) {
        waiting.settle(`${MAX_WAITING} announcements wait`);
        return;
      }
      this.queued.push(waiting);
      if (mayWait) this.gatherTimer ??= setTimeout(() => this.flush(), GATHER_MS);
      else this.flushTask.schedule();
    });
  }

  private makeWaiting(
    announcement: WorkerAnnouncement,
    resolve: (reply: AnnounceReply) => void,
  ): WaitingAnnouncement {
    let timer: NodeJS.Timeout | undefined;
    const settle = (failure?: string): void => {
      if (!timer) return;
      clearTimeout(timer);
      timer = undefined;
      if (failure !== undefined) {
        this.parts.logger.warn('announcement could not be forwarded', {
          worker: announcement.workerId, reason: failure,
        });
      }
      resolve({ taken: failure === undefined });
    };
    timer = setTimeout(() => settle(`no answer within ${TIMEOUT_MS} ms`), TIMEOUT_MS);
    return { announcement, settle };
  }

  /** Sends what is queued. Input is read first: a result that seems to be missing may be there. */
  private flush(): void {
    clearTimeout(this.gatherTimer);
    this.gatherTimer = undefined;
    if (this.isSilent()) setImmediate(() => this.sendAfterInput());
    else this.send();
  }

  private sendAfterInput(): void {
    if (this.isSilent()) this.replaceConnection();
    this.send();
  }

  private send(): void {
    const { queued } = this;
    if (queued.length === 0) return;
    this.queued = [];
    try {
      this.open ??= this.openStream();
    } catch (thrown) {
      // The library throws once the connections are closed, as this process stops.
      const { message } = thrown as Error;
      queued.forEach(({ settle }) => settle(message));
      return;
    }
    const { open } = this;
    if (open.sent.size === 0) open.resultDueSince = this.parts.clock.now();
    const firstNumber = open.lastNumber + 1;
    queued.forEach((waiting, index) => open.sent.set(firstNumber + index, waiting));
    open.lastNumber += queued.length;
    open.stream.write({
      firstNumber, announcements: queued.map(({ announcement }) => announcement),
    });
  }

  private openStream(): OpenStream {
    const stream = this.parts.link.openStream<AnnounceBatch, AnnounceResults>((stub) => (
      stub.keepAnnouncing.bind(stub)), {
      take: (results) => {
        if (this.open?.stream === stream) this.takeResults(this.open, results);
      },
      close: (error) => {
        if (this.open?.stream === stream) this.handleClose(error?.message ?? 'the leader ended the stream');
      },
    });
    return {
      stream, lastNumber: 0, sent: new Map(), resultDueSince: this.parts.clock.now(),
    };
  }

  private takeResults(open: OpenStream, { taken, refused }: AnnounceResults): void {
    Object.assign(open, { resultDueSince: this.parts.clock.now() });
    const settle = (number: number, failure?: string): void => {
      open.sent.get(number)?.settle(failure);
      open.sent.delete(number);
    };
    taken.forEach((number) => settle(number));
    refused.forEach((number) => settle(number, 'the leader did not take it'));
  }

  private isSilent(): boolean {
    const { open } = this;
    return open !== undefined
      && open.sent.size > 0
      && this.parts.clock.now() - open.resultDueSince >= SILENCE_MS;
  }

  private replaceConnection(): void {
    this.open?.stream.replaceConnection();
    this.open?.stream.cancel();
    this.handleClose(`no result for ${SILENCE_MS} ms`);
  }

  private handleClose(reason: string): void {
    const sent = [...this.open?.sent.values() ?? []];
    this.open = undefined;
    sent.forEach(({ settle }) => settle(reason));
  }
}
