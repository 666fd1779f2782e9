import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { systemClock } from '../utils/clock';
import { waitWritten } from './waitWritten';

type ReadError = Error & { readonly code?: string };

/** Error code if the caller ended the connection in the middle of a request. */
const CALLER_ENDED = 'HPE_INVALID_EOF_STATE';
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Time beyond its idle time in which a connection stays open, as in Node.js, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;
const HEAD_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const BAD_REQUEST = '400 Bad Request';
/** Not run: a new connection takes the request. */
const TRY_AGAIN = '503 Service Unavailable\r\nretry-after: 0';
/** Most requests that wait behind others on their connections, over all connections. */
const MAX_WAITING = 100;

/** Status line for each error code of the HTTP parser. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  [HEAD_OVERFLOW]: '431 Request Header Fields Too Large',
  [HEAD_TIMEOUT]: '408 Request Timeout',
};

/** Answers input that is not a valid request and closes the connection; nothing was forwarded. */
const refuseUnreadable = (error: ReadError, socket: Socket, statusLine?: string): void => {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = statusLine ?? STATUS_LINES[error.code ?? ''] ?? BAD_REQUEST;
  socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
};

/** Whether a response is in progress that can be completed in spite of the error. */
const isInProgress = ({ destroyed, req }: ServerResponse, { code }: ReadError): boolean => (
  !destroyed && req.complete && code !== CALLER_ENDED
);

/**
 * Closes connections of callers that are idle or on which no request can be read.
 *
 * If this process was busy, timers run before input that arrived meanwhile is read. A limit that
 * seems to be exceeded is therefore checked again after that input was read.
 *
 * @example
 * server.on('connection', (socket) => callers.registerConnection(socket));
 * server.on('request', ({ socket }, response) => (
 *   callers.registerRequest(socket, response, server.keepAliveTimeout)));
 * server.on('timeout', (socket) => callers.closeIdle(socket));
 */
export class CallerConnections {
  /** Response to the latest request of each connection. */
  private readonly latestResponse = new WeakMap<Socket, ServerResponse>();

  /** Responses of each connection that are not fully written, in the order of their requests. */
  private readonly openResponses = new WeakMap<Socket, readonly ServerResponse[]>();

  /** End of the idle time that the last answer announced, monotonic milliseconds. */
  private readonly announcedUntil = new WeakMap<Socket, number>();

  /** Resolves once the answer to the latest request of each connection was written. */
  private readonly turns = new WeakMap<Socket, Promise<void>>();

  /** Requests that wait behind others, over all connections. */
  private waitingCount = 0;

  /** Connections that have failed and will be closed, unless a second check clears them. */
  private readonly failed = new WeakSet<Socket>();

  /** Limit on the heads of each connection, in bytes: the one in force when it was opened. */
  private readonly headLimits = new WeakMap<Socket, number>();

  /**
   * Registers a new connection.
   *
   * @param maxHeadBytes limit on its heads, for as long as it is open
   */
  registerConnection(socket: Socket, maxHeadBytes: number): void {
    this.headLimits.set(socket, maxHeadBytes);
    socket.once('end', () => this.abortOpen(socket));
  }

  /**
   * Registers a request whose head was received.
   *
   * @param idleMs idle time that the answer announces
   */
  registerRequest(socket: Socket, response: ServerResponse, idleMs: number): void {
    this.latestResponse.set(socket, response);
    this.openResponses.set(socket, [...this.listOpen(socket), response]);
    response.once('close', () => {
      this.announcedUntil.set(socket, systemClock.now() + idleMs);
      this.openResponses.set(socket, this.listOpen(socket).filter((other) => other !== response));
    });
  }

  /**
   * Waits until the answers to earlier requests of a connection are written, or it has closed: an
   * earlier answer may close the connection, and the request would then run without an answer.
   */
  async waitTurn(socket: Socket, response: ServerResponse): Promise<void> {
    const turn = this.turns.get(socket) ?? Promise.resolve();
    this.turns.set(socket, turn.then(() => waitWritten(socket, response)));
    this.waitingCount += 1;
    await turn;
    this.waitingCount -= 1;
  }

  /**
   * Returns whether another request may begin on a connection. Closes it if too many requests wait
   * behind others already, unless it has only one that is not answered: a caller that sends its
   * next request early must not lose its answer to those that send hundreds.
   */
  tryBegin(socket: Socket, response: ServerResponse): boolean {
    const hasMany = this.listOpen(socket).filter((other) => other !== response).length > 1;
    if (hasMany && this.waitingCount >= MAX_WAITING) socket.destroy();
    return !socket.destroyed;
  }

  /** Whether a response answers the latest request of its connection. */
  isNewest(socket: Socket, response: ServerResponse): boolean {
    return this.latestResponse.get(socket) === response;
  }

  /**
   * Closes a connection after its idle time, unless input is waiting to be read. The time in force
   * may be lower than the one that the last answer announced, which the caller relies on.
   */
  closeIdle(socket: Socket): void {
    const announcedMs = (this.announcedUntil.get(socket) ?? 0) - systemClock.now();
    if (announcedMs > 0) {
      socket.setTimeout(announcedMs + IDLE_MARGIN_MS);
      return;
    }
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  }

  /**
   * Answers an error in the input of a connection and closes the connection. Answers in progress
   * to requests that were read completely are finished first.
   *
   * @param maxHeadBytes limit on the heads of new connections
   */
  handleError(error: ReadError, socket: Socket, maxHeadBytes: number): void {
    if (this.failed.has(socket)) return;
    this.failed.add(socket);
    const isOutdated = error.code === HEAD_OVERFLOW
      && (this.headLimits.get(socket) ?? maxHeadBytes) < maxHeadBytes;
    const latest = this.latestResponse.get(socket);
    this.closeAfterError(error, socket, latest, isOutdated ? TRY_AGAIN : undefined);
  }

  /** @param latest response to the latest request when the error occurred */
  private closeAfterError(
    error: ReadError,
    socket: Socket,
    latest: ServerResponse | undefined,
    statusLine?: string,
  ): void {
    const inProgress = this.listOpen(socket).findLast((response) => isInProgress(response, error));
    if (inProgress) inProgress.once('close', () => this.closeAfterError(error, socket, latest, statusLine));
    else if (error.code === HEAD_TIMEOUT) this.checkHeadTimeout(error, socket, latest);
    else refuseUnreadable(error, socket, statusLine);
  }

  /*
   * Destroys the responses that cannot be completed once a caller has ended its side. Node.js
   * reports them as closed only after it has shut down the socket, some turns of the event loop
   * later. A complete response that is being written is left to Node.js, which ends the socket.
   */
  private abortOpen(socket: Socket): void {
    const open = this.listOpen(socket);
    if (open[0]?.writableEnded) return;
    open.forEach((response) => response.destroy());
  }

  private listOpen(socket: Socket): readonly ServerResponse[] {
    return this.openResponses.get(socket) ?? [];
  }

  private checkHeadTimeout(
    error: ReadError,
    socket: Socket,
    latest: ServerResponse | undefined,
  ): void {
    setImmediate(() => {
      if (this.latestResponse.get(socket) === latest) refuseUnreadable(error, socket);
      else this.failed.delete(socket);
    });
  }
}
