import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

type ReadError = Error & { readonly code?: string };

/** Nothing more comes from the caller, in the middle of a request. */
const CALLER_ENDED = 'HPE_INVALID_EOF_STATE';
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
const BAD_REQUEST = '400 Bad Request';

/** What callers are told, by the error that ended the reading. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [HEAD_TIMEOUT]: '408 Request Timeout',
};

/** Answers what cannot be read as a request, and closes: nothing of it was passed on. */
const refuseUnreadable = (error: ReadError, socket: Socket): void => {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = STATUS_LINES[error.code ?? ''] ?? BAD_REQUEST;
  socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
};

/** Whether an answer is under way that the error does not concern. */
const isInProgress = ({ destroyed, req }: ServerResponse, { code }: ReadError): boolean => (
  !destroyed && req.complete && code !== CALLER_ENDED
);

/**
 * Decides when connections of callers are closed that are idle, or on which no request can be read.
 *
 * Guards callers against time that this process was held up: timers run before what has come
 * meanwhile is read, so a limit that seems to be passed is looked at once more after the reading.
 *
 * @example
 * server.on('request', ({ socket }, response) => callers.noteRequest(socket, response));
 * server.on('timeout', (socket) => callers.closeIdle(socket));
 */
export class CallerConnections {
  /** The newest request's response on each. */
  private readonly latestResponse = new WeakMap<Socket, ServerResponse>();

  /** Those that end, or are looked at once more before. */
  private readonly failed = new WeakSet<Socket>();

  /** Notes a request whose head has come. */
  registerRequest(socket: Socket, response: ServerResponse): void {
    this.latestResponse.set(socket, response);
  }

  /** Whether no request has come on a connection behind the one that a response answers. */
  isNewest(socket: Socket, response: ServerResponse): boolean {
    return this.latestResponse.get(socket) === response;
  }

  /** Closes a connection after its idle time, unless something has come on it. */
  closeIdle(socket: Socket): void {
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  }

  /**
   * Answers an error in the reading of a connection, and closes it: after the answer that is under
   * way there, which belongs to a request that was read whole.
   */
  handleError(error: ReadError, socket: Socket): void {
    if (this.failed.has(socket)) return;
    this.failed.add(socket);
    this.closeAfterError(error, socket);
  }

  private closeAfterError(error: ReadError, socket: Socket): void {
    const latest = this.latestResponse.get(socket);
    if (latest && isInProgress(latest, error)) latest.once('close', () => this.closeAfterError(error, socket));
    else if (error.code === HEAD_TIMEOUT) this.checkHeadTimeout(error, socket, latest);
    else refuseUnreadable(error, socket);
  }

  private checkHeadTimeout(error: ReadError, socket: Socket, latest: ServerResponse | undefined): void {
    setImmediate(() => {
      if (this.latestResponse.get(socket) === latest) refuseUnreadable(error, socket);
      else this.failed.delete(socket);
    });
  }
}
