const EVENT_END = '\n\n';
const ID_LINE = /^id: ?(.*)$/m;
/** A block that grows beyond this without an end is no event: it is passed on as it is. */
const MAX_BLOCK_BYTES = 1_048_576;

/**
 * Cuts a stream of server-sent events at the ends of events, byte by byte as they came: what an
 * event parser hands out could not be sent on unchanged.
 *
 * Guards a stream that goes on at another backend server: one that stops in the middle of an event
 * leaves a torn one behind, which must not reach the caller, as the whole one follows.
 *
 * @example
 * response.write(framer.push(chunk)); // whole events alone
 */
export class EventFramer {
  /** Id of the last whole event; empty before the first. */
  lastEventId = '';

  /** Whole events so far. */
  eventCount = 0;

  private remainder: Buffer = Buffer.alloc(0);

  /** Adds bytes; returns the whole events that are there now. */
  push(chunk: Buffer): Buffer {
    const bytes = this.remainder.length > 0 ? Buffer.concat([this.remainder, chunk]) : chunk;
    const position = bytes.lastIndexOf(EVENT_END);
    const end = position < 0 ? 0 : position + EVENT_END.length;
    this.remainder = bytes.subarray(end);
    const completeEvents = bytes.subarray(0, end);
    this.readEvents(completeEvents);
    return this.remainder.length > MAX_BLOCK_BYTES ? Buffer.concat([completeEvents, this.takeRemainder()]) : completeEvents;
  }

  /** What stands behind the last whole event, when the answer has ended as its server meant it. */
  takeRemainder(): Buffer {
    const { remainder: remainder } = this;
    this.remainder = Buffer.alloc(0);
    return remainder;
  }

  /** Forgets what a server left behind that stopped in the middle of an event. */
  discardPartial(): void {
    this.remainder = Buffer.alloc(0);
  }

  private readEvents(completeEvents: Buffer): void {
    if (completeEvents.length === 0) return;
    const blocks = completeEvents.toString('latin1').split(EVENT_END).filter((block) => block !== '');
    this.eventCount += blocks.length;
    const id = blocks.findLast((block) => ID_LINE.test(block));
    if (id !== undefined) this.lastEventId = ID_LINE.exec(id)?.[1]?.trim() ?? this.lastEventId;
  }
}
