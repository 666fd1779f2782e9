import { EVENT_END, EVENT_LINE } from './eventLines';

/** Bytes of an event that are kept: its first lines, and what may begin its end. */
const KEPT_BYTES = 1_024;
const END_BYTES = 3;

/**
 * Follows a stream of server-sent events and tells whether it has stopped within an event: an event
 * ends with an empty line.
 *
 * @example
 * boundary.push(Buffer.from('id: 1\ndata: a\n'));
 * boundary.isWithinEvent; // true
 */
export class EventBoundary {
  /** What was received since the end of the last event. */
  private rest = '';

  /** Whether the bytes so far end within an event. */
  get isWithinEvent(): boolean {
    return EVENT_LINE.test(this.rest);
  }

  /** Adds received bytes. */
  push(chunk: Buffer): void {
    const rest = (this.rest + chunk.toString('latin1')).split(EVENT_END).at(-1) ?? '';
    const isLong = rest.length > KEPT_BYTES;
    this.rest = isLong ? rest.slice(0, KEPT_BYTES) + rest.slice(-END_BYTES) : rest;
  }
}
