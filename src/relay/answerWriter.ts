import type { ServerResponse } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';
import type { Route } from '../manifest/routing';
import { EventFramer } from './eventFramer';
import { endAfterBody } from './endAfterBody';
import { dropHeaders, findHeader } from './rawHeaders';
import type { UpstreamHead } from './upstreamCall';

const MS_PER_SECOND = 1_000;
const NO_EXTRA_HEADERS: ReadonlySet<string> = new Set();
/** Plain answers up to this size are held until they are whole. */
const MAX_BUFFERED_BYTES = 65_536;

/** Statuses whose answers have no body, with or without a length (RFC 9110, section 6.4.1). */
const BODILESS_STATUSES: readonly number[] = [204, 304];

const isSelfDelimited = ({ status, headers }: UpstreamHead): boolean => BODILESS_STATUSES.includes(status)
  || findHeader(headers, 'content-length') !== undefined
  || findHeader(headers, 'transfer-encoding') !== undefined;

/**
 * How an answer is passed on: as it comes; event by event, so that it may go on elsewhere; or held
 * until it is whole, so that one which breaks off can be asked for anew, or be told of.
 */
export type AnswerMode = 'direct' | 'framed' | 'held';

/**
 * Tells how the answers of a route are passed on.
 *
 * @example
 * const writer = new AnswerWriter(response, pickFlow(route), readNow, isClosing);
 */
export const pickAnswerMode = ({ kind, isResumable }: Route): AnswerMode => {
  if (kind !== 'stream') return 'held';
  return isResumable ? 'framed' : 'direct';
};

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

  lastChunkAt = 0;

  /** Status that a backend server answered with; 0 before. */
  statusCode = 0;

  /** Pieces of the body: events of a stream that is framed, writes of another. */
  pieces = 0;

  private readonly framer: EventFramer | undefined;

  /**
   * Whether the answer has no length of its own. It is passed on as it came, so that its end tells
   * the caller no more than it told us: framed anew, one that was cut short would look whole.
   */
  private isCloseDelimited = false;

  private bufferedHead: UpstreamHead | undefined;

  private buffered: Buffer[] = [];

  private bufferedBytes = 0;

  private hasFailed = false;

  /** @param isClosing whether the caller is to send nothing more on its connection */
  constructor(
    private readonly response: ServerResponse,
    private mode: AnswerMode,
    private readonly readNow: () => number,
    private readonly isClosing: () => boolean,
  ) {
    this.framer = mode === 'framed' ? new EventFramer() : undefined;
  }

  /** Whether the caller has the head of an answer. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Whether what the caller has so far may be followed by the rest from another server. */
  get canResume(): boolean {
    return this.framer !== undefined;
  }

  /** Whether the caller has gone, or has its whole answer. */
  get isFinished(): boolean {
    return this.hasFailed || this.response.destroyed || this.response.writableEnded;
  }

  /** Last event that the caller has; empty when there is none. */
  get lastEventId(): string {
    return this.framer?.lastEventId ?? '';
  }

  /** Passes a head on; the head of a stream that goes on is known to the caller already. */
  writeHead(head: UpstreamHead): void {
    if (this.hasBegun) return;
    this.statusCode = head.status;
    if (this.mode === 'held') this.bufferedHead = head;
    else this.sendHead(head);
  }

  private sendHead(head: UpstreamHead): void {
    this.response.sendDate = false;
    this.isCloseDelimited = !isSelfDelimited(head);
    this.response.useChunkedEncodingByDefault = !this.isCloseDelimited;
    this.response.shouldKeepAlive &&= !this.isCloseDelimited && !this.isClosing();
    this.response.writeHead(head.status, dropHeaders(head.headers, NO_EXTRA_HEADERS));
    // The head of a stream is worth having before its first event.
    if (this.mode !== 'held') this.response.flushHeaders();
  }

  /** Passes a piece on; false when the caller reads slower than it comes. */
  write(chunk: Buffer): boolean {
    if (this.mode === 'held') return this.bufferChunk(chunk);
    const bytes = this.framer ? this.framer.push(chunk) : chunk;
    if (bytes.length === 0) return true;
    this.lastChunkAt = this.readNow();
    if (this.pieces === 0) this.firstAt = this.lastChunkAt;
    this.pieces = this.framer ? this.framer.eventCount : this.pieces + 1;
    return this.send(bytes);
  }

  /** Writes nothing after the final answer: past its end, that would end the process. */
  private send(bytes: Buffer): boolean {
    return this.isFinished || this.response.write(bytes);
  }

  /** Forgets what the caller does not have yet, before another server is asked. */
  discardUnsent(): void {
    this.framer?.discardPartial();
    this.buffered = [];
    this.bufferedBytes = 0;
    this.bufferedHead = undefined;
  }

  /** Calls back once the caller reads again. */
  waitDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  /** Ends an answer that is whole. */
  end(): void {
    this.flushBuffered();
    const rest = this.framer?.takeRemainder();
    if (rest && rest.length > 0) this.send(rest);
    this.response.end();
  }

  private bufferChunk(chunk: Buffer): boolean {
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes <= MAX_BUFFERED_BYTES) return true;
    const canWriteMore = this.flushBuffered();
    this.mode = 'direct';
    return canWriteMore;
  }

  private flushBuffered(): boolean {
    if (this.bufferedHead) this.sendHead(this.bufferedHead);
    const bytes = Buffer.concat(this.buffered);
    this.discardUnsent();
    return bytes.length === 0 || this.send(bytes);
  }

  /**
   * Ends an answer that cannot be completed. The connection is broken off, so that what came so far
   * does not look whole.
   */
  abort(): void {
    // An answer that ends with its connection looks whole unless the connection is reset.
    if (this.isCloseDelimited) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /** Answers with an error of our own; one that comes after a head breaks the answer off. */
  fail(error: BeechliftError): void {
    if (this.isFinished) return;
    this.hasFailed = true;
    if (this.hasBegun) {
      this.abort();
      return;
    }
    const body = JSON.stringify(error.buildBody());
    const { retryAfterMs } = error.detail;
    const isClosing = this.isClosing();
    this.response.writeHead(error.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(retryAfterMs === undefined ? {} : { 'retry-after': (retryAfterMs / MS_PER_SECOND).toFixed(3) }),
      ...(isClosing ? { connection: 'close' } : {}),
    });
    this.response.write(body);
    if (isClosing) endAfterBody(this.response.req, this.response);
    else this.response.end();
  }
}
