import type { PlaceDecisions, PlaceNews, PlaceReply } from '../protocol/generated/beechlift';
import type { Clock } from '../utils/clock';
import { ImmediateTask } from '../utils/immediateTask';

/**
 * - `ended`: the leader ended this stream.
 * - `leaderLost`: the leader cannot be reached, nor can it tell.
 */
export type StreamEnd = 'ended' | 'leaderLost';

/** Sends messages to an entry over its placement stream, and ends the stream. */
export interface PlacementSink {
  readonly send: (decisions: PlaceDecisions) => void;
  readonly end: (reason?: StreamEnd) => void;
}

/** Handles what an entry sends over its placement stream, and the end of the stream. */
export interface PlacementMessageHandlers {
  readonly take: (message: PlaceNews) => void;
  readonly close: () => void;
}

/**
 * Longest time without a message to an entry whose requests wait, in milliseconds. It is less than
 * half of the time after which the entry considers the leader unavailable.
 */
const KEEP_ALIVE_MS = 100;

/**
 * Sends placement decisions to one entry. All decisions of one turn of the event loop go out in one
 * message, so the cost per decision falls as the load of the leader grows.
 *
 * @example
 * stream.acknowledge(message.number, message.requests.length > 0);
 * stream.add(reply);
 */
export class PlacementStream {
  private replies: PlaceReply[] = [];

  private acknowledged = 0;

  private readonly flushTask = new ImmediateTask(() => this.flush());

  private sentAt: number;

  private receivedAt: number;

  isOpen = true;

  /** Id of the entry that opened the stream; empty before its first message. */
  entryId = '';

  constructor(private readonly sink: PlacementSink, private readonly clock: Clock) {
    this.sentAt = clock.now();
    this.receivedAt = this.sentAt;
  }

  /** Time since the last message of the entry, in milliseconds. */
  get silentMs(): number {
    return this.clock.now() - this.receivedAt;
  }

  /**
   * Records that a message of the entry was processed. The acknowledgement is sent at once only if
   * the message requests slots; most messages only report the progress of running requests.
   */
  acknowledge(number: number, hasSlotRequests: boolean): void {
    this.acknowledged = number;
    this.receivedAt = this.clock.now();
    if (hasSlotRequests) this.flushTask.schedule();
  }

  /** Queues a decision for the next message to the entry. */
  add(reply: PlaceReply): void {
    this.replies.push(reply);
    this.flushTask.schedule();
  }

  /** Sends a message if the last one is too long ago: a keepalive, even without decisions. */
  keepAlive(): void {
    if (this.clock.now() - this.sentAt >= KEEP_ALIVE_MS) this.flushTask.schedule();
  }

  /** Ends the stream and returns the decisions that were not sent. */
  close(): readonly PlaceReply[] {
    if (!this.isOpen) return [];
    this.isOpen = false;
    this.sink.end();
    return this.replies;
  }

  private flush(): void {
    if (!this.isOpen) return;
    const { replies, acknowledged } = this;
    this.replies = [];
    this.sentAt = this.clock.now();
    this.sink.send({ acknowledged, replies });
  }
}
