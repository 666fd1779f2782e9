/** Bytes that tell whether a stream of events ends behind an event. */
const BOUNDARY_BYTES = 4;
const EMPTY_LINE_END = /(?:\n\n|\n\r\n|\r\r)$/;

/**
 * Follows a stream of server-sent events and tells whether it has stopped within an event: an event
 * ends with an empty line.
 *
 * @example
 * boundary.push(Buffer.from('id: 1\ndata: a\n'));
 * boundary.isWithinEvent; // true
 */
export class EventBoundary {
  private tail = '';

  /** Whether the bytes so far end within an event. */
  get isWithinEvent(): boolean {
    return this.tail !== '' && !EMPTY_LINE_END.test(this.tail);
  }

  /** Adds received bytes. */
  push(chunk: Buffer): void {
    this.tail = (this.tail + chunk.toString('latin1', Math.max(0, chunk.length - BOUNDARY_BYTES))).slice(-BOUNDARY_BYTES);
  }
}
