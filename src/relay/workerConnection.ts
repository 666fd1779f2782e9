import { connect } from 'node:net';
import { Client } from 'undici';
import type { buildConnector } from 'undici';
import { startInputTimer } from './startInputTimer';
import { WorkerSocket } from '../wire/workerSocket';

/**
 * Idle time after which a connection is closed, in milliseconds, unless the server announces a
 * shorter one.
 */
const IDLE_TIMEOUT_MS = 4_000;
/**
 * Margin before the idle timeout that the server announces, in milliseconds, so that no request is
 * sent while the server closes the connection.
 */
const IDLE_MARGIN_MS = 1_000;
/**
 * Longest wait for a new connection, in milliseconds: many times the usual, yet short enough that a
 * request to a server that is down or partitioned is soon sent to another one.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Idle time before TCP keep-alive probes, in milliseconds. */
const KEEP_ALIVE_DELAY_MS = 60_000;
/** Largest head of an answer that is accepted. */
const MAX_HEAD_BYTES = 65_536;

/** Opens a socket to a backend server; the HTTP client defines its type. */
export type Connector = ReturnType<typeof buildConnector>;

/**
 * Opens sockets over the network. The time limit has a timer of its own: the HTTP client measures
 * its limit in steps of half a second.
 */
export const openNetworkSocket: Connector = ({ hostname, port }, callback) => {
  const socket = connect({
    host: hostname,
    port: Number(port),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
  });
  const stopTimer = startInputTimer(() => {
    socket.destroy(Object.assign(new Error('connect ETIMEDOUT'), { code: 'ETIMEDOUT' }));
  }, CONNECT_TIMEOUT_MS);
  let isSettled = false;
  socket.once('connect', () => {
    stopTimer();
    isSettled = true;
    callback(null, socket);
  });
  socket.on('error', (error) => {
    stopTimer();
    if (!isSettled) callback(error, null);
    isSettled = true;
  });
};

/**
 * One connection to a backend server. It carries one request at a time.
 *
 * @example
 * const connection = new WorkerConnection('10.0.0.9:8080', onEnd);
 * connection.client.dispatch(request, handler);
 */
export class WorkerConnection {
  readonly client: Client;

  /** Number of requests that were dispatched so far. */
  requestCount = 0;

  /** Number of sockets so far: the HTTP client replaces one that closed while idle. */
  socketCount = 0;

  /** The latest socket. */
  private socket: WorkerSocket | undefined;

  /** @param onEnd called once the connection has closed */
  constructor(
    readonly address: string,
    onEnd: (connection: WorkerConnection) => void,
    openSocket = openNetworkSocket,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) => {
        this.socketCount += 1;
        openSocket(options, (error, socket) => {
          this.socket = socket ? new WorkerSocket(socket) : undefined;
          // The callback's type needs separate calls for the two cases.
          if (error) callback(error, null);
          else callback(null, socket);
        });
      },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEAD_BYTES,
      // Each request has its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', () => onEnd(this));
  }

  /**
   * Whether the latest socket was reset. An answer without a length ends with its socket, and the
   * HTTP library treats a reset as a normal end, so a partial answer would look complete.
   */
  get wasReset(): boolean {
    return this.socket?.wasReset ?? false;
  }

  /** Whether the server ended the latest socket before all of the request was written. */
  get wasEndedEarly(): boolean {
    return this.socket?.wasEndedEarly ?? false;
  }

  /** Whether the connection can no longer be used. */
  get isEnded(): boolean {
    return this.client.destroyed;
  }

  /** Pauses the answer that is being received. */
  pause(): void {
    this.socket?.pause();
  }

  /** Resumes a paused answer. */
  resume(): void {
    this.socket?.resume();
  }

  /** Closes the connection. */
  end(): void {
    this.client.destroy().catch(() => undefined); // Nobody awaits the result.
  }
}
