import { ByteCollector } from '../utils/byteCollector';
import { EVENT_END, EVENT_LINE } from '../wire/eventLines';

/** The same ends as `EVENT_END`, as bytes to look for. */
const EVENT_ENDS = ['\n\n', '\n\r\n', '\r\r'];
/** Bytes of the longest end that may have arrived before its last one. */
const MAX_END_START_BYTES = 2;
const ID_LINE = /^id: ?(.*)$/m;
/** A block that exceeds this size without an end is not an event and is passed on unchanged. */
const MAX_BLOCK_BYTES = 262_144;

/** Returns the position behind the last complete event; 0 if there is none. */
const findLastEnd = (bytes: Buffer): number => Math.max(0, ...EVENT_ENDS.map((end) => {
  const position = bytes.lastIndexOf(end);
  return position < 0 ? 0 : position + end.length;
}));

/**
 * Splits a stream of server-sent events at the ends of events and keeps all bytes unchanged, which
 * an event parser would not.
 *
 * If a backend server stops in the middle of an event, the partial event must not reach the caller:
 * the server that resumes the stream sends the complete event.
 *
 * @example
 * response.write(framer.push(chunk)); // complete events only
 */
export class EventFramer {
  /** Id of the last complete event; empty if there is none. */
  lastEventId = '';

  /** Number of complete events so far. */
  eventCount = 0;

  private hasPartialBlocks = false;

  /** Whether the begin of the current block was passed on although it had not ended. */
  private isBlockOpen = false;

  /** Bytes after the last complete event. */
  private readonly remainder = new ByteCollector();

  /** Whether another stream can continue after the last complete event. */
  get canResume(): boolean {
    const hasId = this.eventCount === 0 || this.lastEventId !== '';
    return hasId && !this.hasPartialBlocks;
  }

  /** Whether bytes after the last complete event are held back. */
  get hasRemainder(): boolean {
    return this.remainder.length > 0;
  }

  /** Whether the bytes so far end within an event. */
  get isWithinEvent(): boolean {
    return this.isBlockOpen || EVENT_LINE.test(this.remainder.bytes.toString('latin1'));
  }

  /** Adds bytes; returns the events that are complete now. */
  push(chunk: Buffer): Buffer {
    const completeEvents = this.takeComplete(chunk);
    this.readEvents(completeEvents);
    if (completeEvents.length > 0) this.isBlockOpen = false;
    if (this.remainder.length <= MAX_BLOCK_BYTES) return completeEvents;
    this.hasPartialBlocks = true;
    this.isBlockOpen = true;
    return Buffer.concat([completeEvents, this.takeRemainder()]);
  }

  /** Adds bytes; takes those up to the last end. The held ones before contain none. */
  private takeComplete(chunk: Buffer): Buffer {
    const end = this.findEnd(chunk);
    if (end === 0) {
      this.remainder.add(chunk);
      return Buffer.alloc(0);
    }
    const isWhole = this.remainder.length === 0;
    if (!isWhole) this.remainder.add(chunk.subarray(0, end));
    const completeEvents = isWhole ? chunk.subarray(0, end) : this.remainder.take();
    this.remainder.add(chunk.subarray(end));
    return completeEvents;
  }

  /** Returns the position in a chunk behind the last complete event; 0 if it completes none. */
  private findEnd(chunk: Buffer): number {
    const held = this.remainder.bytes.subarray(-MAX_END_START_BYTES);
    const searched = held.length > 0 ? Buffer.concat([held, chunk]) : chunk;
    return Math.max(0, findLastEnd(searched) - held.length);
  }

  /** Takes the bytes after the last complete event, for an answer that has ended normally. */
  takeRemainder(): Buffer {
    return this.remainder.take();
  }

  /** Discards a partial event of a server whose stream was cut off. */
  discardPartial(): void {
    this.remainder.take();
  }

  private readEvents(completeEvents: Buffer): void {
    if (completeEvents.length === 0) return;
    const blocks = completeEvents.toString('latin1').split(EVENT_END).filter((block) => EVENT_LINE.test(block));
    this.eventCount += blocks.length;
    const id = blocks.findLast((block) => ID_LINE.test(block));
    if (id !== undefined) this.lastEventId = ID_LINE.exec(id)?.[1]?.trim() ?? this.lastEventId;
  }
}
