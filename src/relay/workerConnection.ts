import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';

/** A connection that was not used for this long is closed, unless the server allows less. */
const IDLE_TIMEOUT_MS = 4_000;
/** Held back from what a server allows, so that no request meets its close on the way. */
const IDLE_MARGIN_MS = 1_000;
/**
 * Longest wait for a new connection: some hundred times the usual, so that a server which is down
 * or cut off costs a request little before another takes it.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Largest head of an answer. */
const MAX_HEAD_BYTES = 65_536;

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/**
 * One connection to a backend server. It carries one request at a time.
 *
 * @example
 * const connection = new WorkerConnection('10.0.0.9:8080', noteEnd);
 * connection.client.dispatch(request, handler);
 */
export class WorkerConnection {
  readonly client: Client;

  /** Whether the other end, or something between, broke the connection off. */
  wasReset = false;

  /** @param onEnd hears of a connection that has closed */
  constructor(readonly address: string, onEnd: (connection: WorkerConnection) => void) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) => connect(options, (error, socket) => {
        if (socket) this.watchForReset(socket);
        // The library types the two cases of its callback apart.
        if (error) callback(error, null);
        else callback(null, socket);
      }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEAD_BYTES,
      // Deadlines come with each request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', () => onEnd(this));
  }

  /** Whether it can carry nothing any more. */
  get isEnded(): boolean {
    return this.client.destroyed;
  }

  /** Ends it. */
  end(): void {
    this.client.destroy().catch(() => undefined); // Nothing waits on it.
  }

  /*
   * Guards against half an answer that is passed on as whole: an answer without a length ends with
   * its connection, and the library takes a reset for such an end. This listener stands before the
   * library's own.
   */
  private watchForReset(socket: Socket): void {
    socket.once('error', () => {
      this.wasReset = true;
    });
  }
}
