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
  count = 0;

  private rest: Buffer = Buffer.alloc(0);

  /** Adds bytes; returns the whole events that are there now. */
  push(chunk: Buffer): Buffer {
    const bytes = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const position = bytes.lastIndexOf(EVENT_END);
    const end = position < 0 ? 0 : position + EVENT_END.length;
    this.rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    this.readEvents(whole);
    return this.rest.length > MAX_BLOCK_BYTES ? Buffer.concat([whole, this.takeRest()]) : whole;
  }

  /** What stands behind the last whole event, when the answer has ended as its server meant it. */
  takeRest(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  /** Forgets what a server left behind that stopped in the middle of an event. */
  dropTorn(): void {
    this.rest = Buffer.alloc(0);
  }

  private readEvents(whole: Buffer): void {
    if (whole.length === 0) return;
    const blocks = whole.toString('latin1').split(EVENT_END).filter((block) => block !== '');
    this.count += blocks.length;
    const id = blocks.findLast((block) => ID_LINE.test(block));
    if (id !== undefined) this.lastEventId = ID_LINE.exec(id)?.[1]?.trim() ?? this.lastEventId;
  }
}
