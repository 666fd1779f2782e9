import type { ServerResponse } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';
import { EventFramer } from './eventFramer';
import { dropHeaders } from './rawHeaders';
import type { UpstreamHead } from './upstreamCall';

const MS_PER_SECOND = 1_000;
const NO_NAMES: ReadonlySet<string> = new Set();

/**
 * Writes one answer to a caller: what a backend server sent, unchanged, or an error of our own.
 *
 * @example
 * writer.writeHead(head);
 * writer.write(chunk);
 * writer.end();
 */
export class AnswerWriter {
  /** When the first and the last piece of the body were written, monotonic milliseconds. */
  firstAt = 0;

  lastAt = 0;

  /** Pieces of the body: events of a stream that is framed, writes of another. */
  pieces = 0;

  private readonly framer: EventFramer | undefined;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the stream may go on elsewhere, for which it is passed on event by event. */
    isFramed: boolean,
    private readonly readNow: () => number,
  ) {
    this.framer = isFramed ? new EventFramer() : undefined;
  }

  /** Whether the caller has the head of an answer. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Whether what the caller has so far may be followed by the rest from another server. */
  get canGoOn(): boolean {
    return this.framer !== undefined;
  }

  /** Whether the caller has gone, or has its whole answer. */
  get isOver(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }

  /** Last event that the caller has; empty when there is none. */
  get lastEventId(): string {
    return this.framer?.lastEventId ?? '';
  }

  /** Passes a head on; the head of a stream that goes on is known to the caller already. */
  writeHead(head: UpstreamHead): void {
    if (this.hasBegun) return;
    this.response.sendDate = false;
    this.response.writeHead(head.status, dropHeaders(head.headers, NO_NAMES));
    // The head of a stream is worth having before its first event.
    this.response.flushHeaders();
  }

  /** Passes a piece on; false when the caller reads slower than it comes. */
  write(chunk: Buffer): boolean {
    const bytes = this.framer ? this.framer.push(chunk) : chunk;
    if (bytes.length === 0) return true;
    this.lastAt = this.readNow();
    if (this.pieces === 0) this.firstAt = this.lastAt;
    this.pieces = this.framer ? this.framer.count : this.pieces + 1;
    return this.response.write(bytes);
  }

  /** Forgets a torn event, before the stream goes on at another server. */
  dropTorn(): void {
    this.framer?.dropTorn();
  }

  /** Calls back once the caller reads again. */
  waitDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  /** Ends an answer that is whole. */
  end(): void {
    const rest = this.framer?.takeRest();
    if (rest && rest.length > 0) this.response.write(rest);
    this.response.end();
  }

  /**
   * Ends an answer that cannot be completed. The connection is broken off, so that what came so far
   * does not look whole.
   */
  breakOff(): void {
    this.response.destroy();
  }

  /** Answers with an error of our own; one that comes after a head breaks the answer off. */
  fail(error: BeechliftError, isClosing: boolean): void {
    if (this.isOver) return;
    if (this.hasBegun) {
      this.breakOff();
      return;
    }
    const body = JSON.stringify(error.buildBody());
    const { retryAfterMs } = error.detail;
    this.response.writeHead(error.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(retryAfterMs === undefined ? {} : { 'retry-after': (retryAfterMs / MS_PER_SECOND).toFixed(3) }),
      ...(isClosing ? { connection: 'close' } : {}),
    });
    this.response.end(body);
  }
}
