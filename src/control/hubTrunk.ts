import type {
  EntryNews, HubDecisions, HubNews, SiteClient,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { PacedTask } from '../utils/pacedTask';
import type { ClientStream, RpcLink } from '../wire/rpcLink';
import { CountedMessages } from './countedMessages';
import type { PlacementMessageHandlers, PlacementSink } from './placementStream';

/** Shortest time between two messages to the leader, in milliseconds. */
const GATHER_MS = 10;
/** The same while the leader has not counted the last one: it is busy. */
const BUSY_GATHER_MS = 60;
/**
 * Time without a count of what the leader received after which its streams end, in milliseconds.
 * It is less than the time after which an entry would hold this replica responsible.
 */
const SILENCE_MS = 700;
/** Most messages on their way: bounds the memory for a leader that does not read. */
const MAX_IN_FLIGHT = 64;

/** Dependencies of a trunk. */
export interface HubTrunkParts {
  readonly link: Pick<RpcLink<SiteClient>, 'address' | 'openStream'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Passes the placement streams of entries on to the leader in one stream, and its decisions back.
 * The leader sees the streams as if they came from the entries.
 *
 * The next message waits until the leader has counted the last one, for a while at most: the longer
 * the leader takes, the more is gathered.
 *
 * @example
 * stream.listen(trunk.open(stream)); // a placement stream of an entry
 */
export class HubTrunk {
  private readonly sinks = new Map<number, PlacementSink>();

  private lastNumber = 0;

  private news: EntryNews[] = [];

  private stream: ClientStream<HubNews> | undefined;

  private messages = new CountedMessages();

  /** When the last message was sent, monotonic milliseconds. */
  private sentAt = -Infinity;

  private busyTimer: NodeJS.Timeout | undefined;

  private watchdog: NodeJS.Timeout | undefined;

  private readonly flushTask: PacedTask;

  constructor(private readonly parts: HubTrunkParts) {
    this.flushTask = new PacedTask(() => this.flush(), GATHER_MS, parts.clock);
  }

  /** Adds the stream of an entry; returns the handlers of its messages. */
  open(sink: PlacementSink): PlacementMessageHandlers {
    this.lastNumber += 1;
    const stream = this.lastNumber;
    this.sinks.set(stream, sink);
    return {
      take: (message) => {
        if (this.sinks.has(stream)) this.add({ stream, message: { ...message, leaderAddress: '' } });
      },
      close: () => {
        if (this.sinks.delete(stream)) this.add({ stream, message: undefined });
      },
    };
  }

  private add(news: EntryNews): void {
    this.news.push(news);
    this.flushTask.schedule();
  }

  /** Sends what was gathered; a leader that is busy gets fewer and larger messages. */
  private flush(): void {
    if (this.news.length === 0) return;
    const busyMs = this.messages.onTheirWay === 0
      ? 0
      : this.sentAt + BUSY_GATHER_MS - this.parts.clock.now();
    if (busyMs <= 0) this.send();
    else this.busyTimer ??= setTimeout(() => this.flushBusy(), busyMs);
  }

  private flushBusy(): void {
    this.busyTimer = undefined;
    this.flush();
  }

  private send(): void {
    const { news } = this;
    this.news = [];
    if (this.messages.onTheirWay >= MAX_IN_FLIGHT) {
      this.end('too many messages are on their way');
      return;
    }
    try {
      this.stream ??= this.openStream();
    } catch (thrown) {
      // The library throws once the connections are closed, as this process stops.
      this.end((thrown as Error).message);
      return;
    }
    const now = this.parts.clock.now();
    this.messages.recordSent(now);
    this.sentAt = now;
    this.stream.write({ news });
    this.startWatchdog();
  }

  private openStream(): ClientStream<HubNews> {
    const stream = this.parts.link.openStream<HubNews, HubDecisions>((stub) => (
      stub.placeForMany.bind(stub)), {
      take: (message) => {
        if (this.stream === stream) this.takeDecisions(message);
      },
      close: (error) => {
        if (this.stream === stream) this.end(error?.message ?? 'the leader ended the stream');
      },
    });
    return stream;
  }

  private takeDecisions({ received, decisions }: HubDecisions): void {
    this.messages.recordCount(received, this.parts.clock.now());
    if (this.news.length > 0) this.flushTask.schedule();
    decisions.forEach(({ stream, message }) => {
      const sink = this.sinks.get(stream);
      if (message) {
        sink?.send(message);
        return;
      }
      this.sinks.delete(stream);
      sink?.end();
    });
  }

  private startWatchdog(): void {
    const silentMs = this.messages.measureSilence(this.parts.clock.now());
    this.watchdog ??= setTimeout(() => {
      this.watchdog = undefined;
      // Input that arrived while this process was busy is read first, so that it counts.
      setImmediate(() => this.checkSilence());
    }, Math.max(1, SILENCE_MS - silentMs));
  }

  private checkSilence(): void {
    if (!this.stream || this.messages.onTheirWay === 0) return;
    const silentMs = this.messages.measureSilence(this.parts.clock.now());
    if (silentMs < SILENCE_MS) {
      this.startWatchdog();
      return;
    }
    this.stream.replaceConnection();
    this.end(`no count for ${Math.round(silentMs)} ms`);
  }

  /** Ends the streams of all entries, which then find out whether the leader is gone. */
  private end(reason: string): void {
    const sinks = [...this.sinks.values()];
    this.parts.logger.warn('placement streams of entries ended: the leader cannot be reached', {
      leader: this.parts.link.address, streams: sinks.length, reason,
    });
    this.stream?.cancel();
    this.stream = undefined;
    this.messages = new CountedMessages();
    this.news = [];
    this.sinks.clear();
    sinks.forEach((sink) => sink.end('leaderLost'));
  }
}
