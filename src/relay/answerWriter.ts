import type { ServerResponse } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';
import type { Route } from '../manifest/routing';
import { EventFramer } from './eventFramer';
import { endAfterBody } from './endAfterBody';
import { dropHeaders, findHeader } from './rawHeaders';
import type { UpstreamHead } from './upstreamCall';

const MS_PER_SECOND = 1_000;
const NO_NAMES: ReadonlySet<string> = new Set();
/** Plain answers up to this size are held until they are whole. */
const MAX_HELD_BYTES = 65_536;

/** Statuses whose answers have no body, with or without a length (RFC 9110, section 6.4.1). */
const EMPTY_STATUSES: readonly number[] = [204, 304];

const isFramed = ({ status, headers }: UpstreamHead): boolean => EMPTY_STATUSES.includes(status)
  || findHeader(headers, 'content-length') !== undefined
  || findHeader(headers, 'transfer-encoding') !== undefined;

/**
 * How an answer is passed on: as it comes; event by event, so that it may go on elsewhere; or held
 * until it is whole, so that one which breaks off can be asked for anew, or be told of.
 */
export type AnswerFlow = 'direct' | 'framed' | 'held';

/**
 * Tells how the answers of a route are passed on.
 *
 * @example
 * const writer = new AnswerWriter(response, pickFlow(route), readNow, isClosing);
 */
export const pickFlow = ({ kind, isResumable }: Route): AnswerFlow => {
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

  lastAt = 0;

  /** Status that a backend server answered with; 0 before. */
  statusCode = 0;

  /** Pieces of the body: events of a stream that is framed, writes of another. */
  pieces = 0;

  private readonly framer: EventFramer | undefined;

  /**
   * Whether the answer has no length of its own. It is passed on as it came, so that its end tells
   * the caller no more than it told us: framed anew, one that was cut short would look whole.
   */
  private endsWithConnection = false;

  private heldHead: UpstreamHead | undefined;

  private held: Buffer[] = [];

  private heldBytes = 0;

  private hasFailed = false;

  /** @param isClosing whether the caller is to send nothing more on its connection */
  constructor(
    private readonly response: ServerResponse,
    private flow: AnswerFlow,
    private readonly readNow: () => number,
    private readonly isClosing: () => boolean,
  ) {
    this.framer = flow === 'framed' ? new EventFramer() : undefined;
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
    if (this.flow === 'held') this.heldHead = head;
    else this.sendHead(head);
  }

  private sendHead(head: UpstreamHead): void {
    this.response.sendDate = false;
    this.endsWithConnection = !isFramed(head);
    this.response.useChunkedEncodingByDefault = !this.endsWithConnection;
    this.response.shouldKeepAlive &&= !this.endsWithConnection && !this.isClosing();
    this.response.writeHead(head.status, dropHeaders(head.headers, NO_NAMES));
    // The head of a stream is worth having before its first event.
    if (this.flow !== 'held') this.response.flushHeaders();
  }

  /** Passes a piece on; false when the caller reads slower than it comes. */
  write(chunk: Buffer): boolean {
    if (this.flow === 'held') return this.hold(chunk);
    const bytes = this.framer ? this.framer.push(chunk) : chunk;
    if (bytes.length === 0) return true;
    this.lastAt = this.readNow();
    if (this.pieces === 0) this.firstAt = this.lastAt;
    this.pieces = this.framer ? this.framer.count : this.pieces + 1;
    return this.send(bytes);
  }

  /** Writes nothing after the final answer: past its end, that would end the process. */
  private send(bytes: Buffer): boolean {
    return this.isOver || this.response.write(bytes);
  }

  /** Forgets what the caller does not have yet, before another server is asked. */
  dropUnsent(): void {
    this.framer?.dropTorn();
    this.held = [];
    this.heldBytes = 0;
    this.heldHead = undefined;
  }

  /** Calls back once the caller reads again. */
  waitDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  /** Ends an answer that is whole. */
  end(): void {
    this.sendHeld();
    const rest = this.framer?.takeRest();
    if (rest && rest.length > 0) this.send(rest);
    this.response.end();
  }

  private hold(chunk: Buffer): boolean {
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes <= MAX_HELD_BYTES) return true;
    const isRoomy = this.sendHeld();
    this.flow = 'direct';
    return isRoomy;
  }

  private sendHeld(): boolean {
    if (this.heldHead) this.sendHead(this.heldHead);
    const bytes = Buffer.concat(this.held);
    this.dropUnsent();
    return bytes.length === 0 || this.send(bytes);
  }

  /**
   * Ends an answer that cannot be completed. The connection is broken off, so that what came so far
   * does not look whole.
   */
  breakOff(): void {
    // An answer that ends with its connection looks whole unless the connection is reset.
    if (this.endsWithConnection) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /** Answers with an error of our own; one that comes after a head breaks the answer off. */
  fail(error: BeechliftError): void {
    if (this.isOver) return;
    this.hasFailed = true;
    if (this.hasBegun) {
      this.breakOff();
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
