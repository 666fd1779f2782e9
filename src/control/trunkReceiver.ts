import { toBeechliftError } from '../errors/beechliftError';
import type {
  EntryDecisions, EntryNews, HubDecisions, HubNews, PlaceNews,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { ImmediateTask } from '../utils/immediateTask';
import { PacedTask } from '../utils/pacedTask';
import type { ServerStream } from '../wire/rpcServer';
import type { PlacementMessageHandlers, PlacementSink } from './placementStream';

/** Shortest time between two messages to a hub, in milliseconds. */
const GATHER_MS = 10;
/** Longest time that messages are handled before other input is read, in milliseconds. */
const SLICE_MS = 2;
/** Most messages of a hub that wait: several times as many as it sends without a count. */
const MAX_QUEUED = 256;
/** Most streams of entries at one hub. */
const MAX_STREAMS = 4_096;

/** Dependencies of a receiver. */
export interface TrunkReceiverParts {
  readonly stream: Pick<ServerStream<HubNews, HubDecisions>, 'send' | 'end'>;
  /** Opens the placement stream of an entry; throws if this replica does not lead. */
  readonly openStream: (sink: PlacementSink) => PlacementMessageHandlers;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Receives the placement streams that a hub passes on in one stream, and sends the decisions of
 * some milliseconds back in one message.
 *
 * Messages are handled in slices. In between, the leader reads what its own lease and those of
 * entries rest on: it must not wait until all that a burst brings is placed.
 *
 * @example
 * stream.listen(new TrunkReceiver(parts));
 */
export class TrunkReceiver {
  private readonly streams = new Map<number, PlacementMessageHandlers>();

  private decisions: EntryDecisions[] = [];

  /** Messages of the hub that were not handled completely, oldest first. */
  private queue: HubNews[] = [];

  /** Position of the next item in the oldest message. */
  private position = 0;

  /** Messages of the hub that were handled. */
  private received = 0;

  private isOpen = true;

  private readonly sliceTask = new ImmediateTask(() => this.handleSlice());

  private readonly flushTask: PacedTask;

  constructor(private readonly parts: TrunkReceiverParts) {
    this.flushTask = new PacedTask(() => this.flush(), GATHER_MS, parts.clock);
  }

  /** Handles a message of the hub. */
  readonly take = (message: HubNews): void => {
    if (!this.isOpen) return;
    if (this.queue.length >= MAX_QUEUED) {
      this.parts.logger.warn('hub sends more than it may, closing its stream', { waiting: this.queue.length });
      this.parts.stream.end();
      this.close();
      return;
    }
    this.queue.push(message);
    this.sliceTask.schedule();
  };

  /** Ends the streams of all entries with that of the hub. */
  readonly close = (): void => {
    this.isOpen = false;
    this.queue = [];
    const all = [...this.streams.values()];
    this.streams.clear();
    all.forEach(({ close }) => close());
  };

  private handleSlice(): void {
    const { clock } = this.parts;
    const endsAt = clock.now() + SLICE_MS;
    do this.handleNext();
    while (this.queue.length > 0 && clock.now() < endsAt);
    if (this.queue.length > 0) this.sliceTask.schedule();
  }

  /** Handles the next item of the oldest message, and counts the message after its last one. */
  private handleNext(): void {
    const [message] = this.queue;
    const item = message?.news[this.position];
    this.position += 1;
    if (item) this.handleNews(item);
    if (!message || this.position < message.news.length) return;
    this.queue.shift();
    this.position = 0;
    this.received += 1;
    // The hub waits for the count before it sends more.
    this.flushTask.schedule();
  }

  private handleNews({ stream, message }: EntryNews): void {
    if (message) {
      this.handleMessage(stream, message);
      return;
    }
    const handlers = this.streams.get(stream);
    this.streams.delete(stream);
    handlers?.close();
  }

  /** Handles a message of an entry; an error ends the stream of this entry alone. */
  private handleMessage(stream: number, message: PlaceNews): void {
    try {
      this.findHandlers(stream)?.take(message);
    } catch (thrown) {
      this.parts.logger.warn('message of an entry could not be processed, closing its stream', {
        entry: message.entryId, reason: toBeechliftError(thrown).message,
      });
      this.endStream(stream);
    }
  }

  private findHandlers(stream: number): PlacementMessageHandlers | undefined {
    const existing = this.streams.get(stream);
    if (existing) return existing;
    if (this.streams.size >= MAX_STREAMS) {
      this.endStream(stream);
      return undefined;
    }
    const handlers = this.parts.openStream({
      send: (message) => this.add({ stream, message }),
      end: () => this.endStream(stream),
    });
    this.streams.set(stream, handlers);
    return handlers;
  }

  private endStream(stream: number): void {
    const handlers = this.streams.get(stream);
    this.streams.delete(stream);
    this.add({ stream, message: undefined });
    handlers?.close();
  }

  private add(decisions: EntryDecisions): void {
    this.decisions.push(decisions);
    this.flushTask.schedule();
  }

  private flush(): void {
    const { decisions, received } = this;
    this.decisions = [];
    if (this.isOpen) this.parts.stream.send({ received, decisions });
  }
}
