import { EventBoundary } from '../wire/eventBoundary';
import { findHeader } from '../wire/rawHeaders';
import type { UpstreamHead } from './upstreamCall';

/**
 * What one backend server has sent of a stream, and whether it had begun more than that.
 *
 * @example
 * const part = new ReceivedPart(head);
 * part.push(chunk);
 * if (part.hasBegunMore) …
 */
export class ReceivedPart {
  private readonly boundary = new EventBoundary();

  /** Length of the body, if the head named it. */
  private readonly length: number;

  private receivedBytes = 0;

  constructor({ headers }: Pick<UpstreamHead, 'headers'>) {
    this.length = Number(findHeader(headers, 'content-length') ?? 0);
  }

  /** Whether the bytes so far end within an event. */
  get isWithinEvent(): boolean {
    return this.boundary.isWithinEvent;
  }

  /** Whether the server had begun more than it has sent, so that the stream is not complete. */
  get hasBegunMore(): boolean {
    return this.isWithinEvent || this.receivedBytes < this.length;
  }

  /** Adds received bytes. */
  push(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    this.boundary.push(chunk);
  }
}
