import type { PlaceDecisions, PlaceNews, PlaceReply } from '../protocol/generated/beechlift';
import type { Clock } from '../utils/clock';
import { TurnTask } from '../utils/turnTask';

/** The leader's end of an entry's stream. */
export interface PlacementSink {
  readonly send: (decisions: PlaceDecisions) => void;
  readonly end: () => void;
}

/** The leader's side of an entry's stream. */
export interface PlacementMessageHandlers {
  readonly take: (message: PlaceNews) => void;
  readonly close: () => void;
}

/**
 * Longest silence towards an entry whose requests wait, in milliseconds: under half of the silence
 * that an entry takes for the leader's death.
 */
const KEEP_ALIVE_MS = 100;

/**
 * How decisions reach one entry. What is decided in one turn of the loop goes as one message: the
 * busier the leader, the more decisions share the cost of one.
 *
 * @example
 * line.acknowledge(news.number, news.requests.length > 0);
 * line.add(reply);
 */
export class PlacementStream {
  private replies: PlaceReply[] = [];

  private acknowledged = 0;

  private readonly flushTask = new TurnTask(() => this.flush());

  private sentAt: number;

  private receivedAt: number;

  isOpen = true;

  /** The entry at its other end; empty before its first message. */
  entryId = '';

  constructor(private readonly sink: PlacementSink, private readonly clock: Clock) {
    this.sentAt = clock.now();
    this.receivedAt = this.sentAt;
  }

  /** For how long nothing came from the entry, in milliseconds. */
  get silentMs(): number {
    return this.clock.now() - this.receivedAt;
  }

  /**
   * Notes that a message of the entry was taken in. Only one that asks for places is answered at
   * once; most only tell how streams go.
   */
  acknowledge(number: number, isAsking: boolean): void {
    this.acknowledged = number;
    this.receivedAt = this.clock.now();
    if (isAsking) this.flushTask.schedule();
  }

  /** Tells the entry a decision. */
  add(reply: PlaceReply): void {
    this.replies.push(reply);
    this.flushTask.schedule();
  }

  /** Shows an entry whose requests wait that the leader is there. */
  keepAlive(): void {
    if (this.clock.now() - this.sentAt >= KEEP_ALIVE_MS) this.flushTask.schedule();
  }

  /** Ends the stream; what the entry was not told is returned. */
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
