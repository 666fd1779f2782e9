import { EventBoundary } from '../wire/eventBoundary';
import { findHeader } from '../wire/rawHeaders';
import type { UpstreamHead } from './upstreamCall';

const EVENT_STREAM = /^text\/event-stream\b/i;

/**
 * What one backend server has sent of a stream, and whether it had begun more than that.
 *
 * @example
 * const part = new ReceivedPart(head);
 * part.push(chunk);
 * if (part.hasBegunMore) …
 */
export class ReceivedPart {
  private readonly boundary: EventBoundary | undefined;

  /** Length of the body, if the head named it. */
  private readonly length: number;

  private receivedBytes = 0;

  constructor({ headers }: Pick<UpstreamHead, 'headers'>) {
    const contentType = findHeader(headers, 'content-type');
    const hasEvents = contentType === undefined || EVENT_STREAM.test(contentType);
    this.boundary = hasEvents ? new EventBoundary() : undefined;
    this.length = Number(findHeader(headers, 'content-length') ?? 0);
  }

  /** Whether the bytes so far end within an event. */
  get isWithinEvent(): boolean {
    return this.boundary?.isWithinEvent === true;
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
