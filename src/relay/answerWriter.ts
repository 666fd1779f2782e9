import type { ServerResponse } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';
import { ByteCollector } from '../utils/byteCollector';
import { isResumableStream } from '../core/routing/routeTable';
import type { Route } from '../manifest/routing';
import { EventFramer } from './eventFramer';
import { endAfterBody } from './endAfterBody';
import { dropHeaders } from '../wire/rawHeaders';
import { ReceivedPart } from './receivedPart';
import type { UpstreamHead } from './upstreamCall';

const OK = 200;
const MS_PER_SECOND = 1_000;
const NO_EXTRA_HEADERS: ReadonlySet<string> = new Set();
const LENGTH_HEADERS: ReadonlySet<string> = new Set(['content-length']);
/** Answers of up to this size that are not streams are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 65_536;

const hasKnownLength = ({ framing }: UpstreamHead): boolean => framing === 'none' || framing === 'length';

/**
 * How an answer is passed on. `direct`: each chunk at once. `framed`: in complete events, so that
 * another server can resume the stream. `buffered`: complete, so that a request whose answer is cut
 * off can be retried or answered with an error.
 */
export type AnswerMode = 'direct' | 'framed' | 'buffered';

/**
 * Returns how the answers of a route are passed on.
 *
 * @example
 * const writer = new AnswerWriter(response, pickAnswerMode(route), readNow, isClosing);
 */
export const pickAnswerMode = (route: Route): AnswerMode => {
  if (route.kind !== 'stream') return 'buffered';
  return isResumableStream(route) ? 'framed' : 'direct';
};

/**
 * Writes one answer to a caller: the unchanged answer of a backend server, or an error of the
 * entry.
 *
 * @example
 * writer.writeHead(head);
 * writer.write(chunk);
 * writer.end();
 */
export class AnswerWriter {
  /** When the first and the last chunk of the body were written, monotonic milliseconds. */
  firstChunkAt = 0;

  lastChunkAt = 0;

  /** Status of the backend server's answer; 0 until it is received. */
  statusCode = 0;

  /** Number of chunks that were written: events in `framed` mode, writes otherwise. */
  chunkCount = 0;

  private readonly framer: EventFramer | undefined;

  /** What the current server has sent of a stream; undefined for other answers. */
  private part: ReceivedPart | undefined;

  /** Whether the current server continues what an earlier one began. */
  private isContinued = false;

  /** Whether an earlier server had begun more of the stream than was passed on. */
  private hasKnownRest = false;

  /**
   * Whether only the end of the connection marks the end of the answer: its length is unknown, and
   * an HTTP/1.0 caller does not understand chunks. Other callers get such an answer in chunks: if
   * this process is killed, its connections end normally, and only the missing last chunk tells
   * them that the answer is incomplete.
   */
  private isCloseDelimited = false;

  /** Whether the caller was told a length that the rest of another server may not add up to. */
  private hasFixedLength = false;

  private bufferedHead: UpstreamHead | undefined;

  private readonly buffered = new ByteCollector();

  private hasFailed = false;

  /** Number of events with which the answer seemed complete; undefined if it does not. */
  private presumedCount: number | undefined;

  /** @param isClosing returns whether the connection closes after this answer */
  constructor(
    private readonly response: ServerResponse,
    private mode: AnswerMode,
    private readonly readNow: () => number,
    private readonly isClosing: () => boolean,
  ) {
    this.framer = mode === 'framed' ? new EventFramer() : undefined;
  }

  /** Whether the head of an answer was sent to the caller. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether another server can send the rest of an answer that has started. */
  get canResume(): boolean {
    return this.statusCode === OK && this.framer?.canResume === true && !this.hasFixedLength;
  }

  /** Whether the caller disconnected, or the answer is complete or failed. */
  get isFinished(): boolean {
    return this.hasFailed || this.response.destroyed || this.response.writableEnded;
  }

  /** Whether the answer seems complete, and nothing was received since that proves the contrary. */
  get isPresumedComplete(): boolean {
    return this.framer !== undefined
      && this.framer.eventCount === this.presumedCount
      && !this.framer.hasRemainder;
  }

  /** Bytes of the answer that the operating system has not accepted yet. */
  get unwrittenBytes(): number {
    return this.response.writableLength;
  }

  /** Whether a stream of events has stopped within an event. */
  get isWithinEvent(): boolean {
    return this.statusCode === OK && this.part?.isWithinEvent === true;
  }

  /** Whether more of the stream is known to exist than was passed on. */
  get lacksKnownRest(): boolean {
    return this.hasKnownRest;
  }

  /** Id of the last event that was sent to the caller; empty if there is none. */
  get lastEventId(): string {
    return this.framer?.lastEventId ?? '';
  }

  /** Passes a head on, unless it is that of a resumed stream, whose head was sent before. */
  writeHead(head: UpstreamHead): void {
    this.isContinued = this.hasStarted;
    this.part = this.mode === 'buffered' ? undefined : new ReceivedPart(head, this.framer);
    if (this.hasStarted) return;
    this.statusCode = head.status;
    if (this.mode === 'buffered') this.bufferedHead = head;
    else this.sendHead(head);
  }

  /*
   * An answer that another server may continue is sent without its length: a rest of another size
   * would leave the caller waiting, or be taken for the next answer on its connection.
   */
  private sendHead(head: UpstreamHead): void {
    const { useChunkedEncodingByDefault: takesChunks, req } = this.response;
    const mayContinue = this.mode === 'framed' && head.status === OK && req.method !== 'HEAD';
    this.response.sendDate = false;
    this.isCloseDelimited = !takesChunks && !hasKnownLength(head);
    this.hasFixedLength = mayContinue && !takesChunks && !this.isCloseDelimited;
    this.response.shouldKeepAlive &&= !this.isClosing();
    const excluded = mayContinue && takesChunks ? LENGTH_HEADERS : NO_EXTRA_HEADERS;
    this.response.writeHead(head.status, dropHeaders(head.headers, excluded));
    // The caller of a stream gets the head before the first event.
    if (this.mode !== 'buffered') this.response.flushHeaders();
  }

  /** Passes a chunk on; returns false if the caller reads more slowly than chunks arrive. */
  write(chunk: Buffer): boolean {
    if (this.mode === 'buffered') return this.bufferChunk(chunk);
    this.part?.push(chunk);
    const eventsBefore = this.framer?.eventCount ?? 0;
    const bytes = this.framer ? this.framer.push(chunk) : chunk;
    if (bytes.length === 0) return true;
    if (this.framer && this.framer.eventCount > eventsBefore) this.hasKnownRest = false;
    this.lastChunkAt = this.readNow();
    if (this.chunkCount === 0) this.firstChunkAt = this.lastChunkAt;
    this.chunkCount = this.framer ? this.framer.eventCount : this.chunkCount + 1;
    return this.send(bytes);
  }

  /** Writes nothing once the answer is finished: a write after the end would crash the process. */
  private send(bytes: Buffer): boolean {
    return this.isFinished || this.response.write(bytes);
  }

  /** Whether another server can tell what follows, and none has told yet that nothing does. */
  get needsProof(): boolean {
    const isConfirmed = this.isContinued && this.part?.isEmpty === true;
    return this.canResume && this.framer?.hasRemainder === false && !isConfirmed;
  }

  /** Marks an answer that seems complete, so that it is ended if no server proves the contrary. */
  markPresumedComplete(): void {
    this.presumedCount = this.framer?.eventCount;
  }

  /** Records that the current server broke off: it may have begun more than it has sent. */
  recordBreak(): void {
    this.hasKnownRest ||= this.canResume && this.part?.hasBegunMore === true;
  }

  /** Discards what was not sent to the caller, before another server is tried. */
  discardUnsent(): void {
    // A partial event proves that there are more.
    if (!this.isPresumedComplete) this.presumedCount = undefined;
    this.framer?.discardPartial();
    this.buffered.take();
    this.bufferedHead = undefined;
  }

  /** Calls `resume` once the caller has read what was written. */
  waitDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  /** Ends a complete answer. */
  end(): void {
    const rest = this.framer?.takeRemainder();
    this.flushBuffered();
    if (rest && rest.length > 0) this.send(rest);
    this.response.end();
  }

  private bufferChunk(chunk: Buffer): boolean {
    this.buffered.add(chunk);
    if (this.buffered.length <= MAX_BUFFERED_BYTES) return true;
    const canWriteMore = this.flushBuffered();
    this.mode = 'direct';
    return canWriteMore;
  }

  private flushBuffered(): boolean {
    if (this.bufferedHead) this.sendHead(this.bufferedHead);
    const bytes = this.buffered.take();
    this.discardUnsent();
    return bytes.length === 0 || this.send(bytes);
  }

  /**
   * Aborts an answer that cannot be completed. Closes the connection, so that the caller does not
   * consider the part that it has received complete.
   */
  abort(): void {
    // An answer that ends with its connection looks complete unless the connection is reset.
    if (this.isCloseDelimited) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /** Answers with an error of the entry, or aborts an answer whose head was sent. */
  fail(error: BeechliftError): void {
    if (this.isFinished) return;
    this.hasFailed = true;
    if (this.hasStarted) {
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
