import { EventBoundary } from '../wire/eventBoundary';
import { EVENT_STREAM } from '../wire/eventLines';
import { findHeader } from '../wire/rawHeaders';
import type { UpstreamHead } from './upstreamCall';

/** Follows the events of a stream. */
type EventFollower = Pick<EventBoundary, 'isWithinEvent'>;

/**
 * What one backend server has sent of a stream, and whether it had begun more than that.
 *
 * @example
 * const part = new ReceivedPart(head, framer);
 * part.push(chunk);
 * if (part.hasBegunMore) …
 */
export class ReceivedPart {
  /** Follows the events if nobody else does and their end matters. */
  private readonly boundary: EventBoundary | undefined;

  private readonly events: EventFollower | undefined;

  /** Length of the body, if the head named it. */
  private readonly length: number;

  private receivedBytes = 0;

  /** @param framer follows the events of the whole stream, if it is passed on in events */
  constructor({ headers, framing }: UpstreamHead, framer: EventFollower | undefined) {
    const contentType = findHeader(headers, 'content-type');
    const hasEvents = contentType === undefined || EVENT_STREAM.test(contentType);
    this.boundary = !framer && framing === 'closeDelimited' ? new EventBoundary() : undefined;
    this.events = hasEvents ? framer ?? this.boundary : undefined;
    this.length = Number(findHeader(headers, 'content-length') ?? 0);
  }

  /** Whether the bytes so far end within an event. */
  get isWithinEvent(): boolean {
    return this.events?.isWithinEvent === true;
  }

  /** Whether the server has sent nothing behind its head. */
  get isEmpty(): boolean {
    return this.receivedBytes === 0;
  }

  /** Whether the server had begun more than it has sent, so that the stream is not complete. */
  get hasBegunMore(): boolean {
    return this.isWithinEvent || this.receivedBytes < this.length;
  }

  /** Adds received bytes. */
  push(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    this.boundary?.push(chunk);
  }
}
