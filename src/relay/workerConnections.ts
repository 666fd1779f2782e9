import { Client } from 'undici';

/** A connection that was not used for this long is closed, unless the server allows less. */
const IDLE_MS = 4_000;
/** Held back from what a server allows, so that no request meets its close on the way. */
const IDLE_MARGIN_MS = 1_000;
/**
 * Longest wait for a new connection: some hundred times the usual, so that a server which is down
 * or cut off costs a request little before another takes it.
 */
const CONNECT_MS = 300;
/** Largest head of an answer. */
const MAX_HEAD_BYTES = 65_536;

/** One connection: it carries one request at a time. */
export interface WorkerConnection {
  readonly client: Client;
}

/**
 * Connections to backend servers. Each carries one request at a time, and is given up after
 * whatever was not a whole answer in order, so that no byte of one answer is taken for another.
 *
 * @example
 * const connection = connections.take('10.0.0.9:8080');
 * connections.give('10.0.0.9:8080', connection);
 */
export class WorkerConnections {
  private readonly idle = new Map<string, Client[]>();

  /** A connection that is free, the one used last first, or a new one. */
  take(address: string): Client {
    const free = this.idle.get(address);
    let client = free?.pop();
    while (client && client.destroyed) client = free?.pop();
    return client ?? this.open(address);
  }

  /** Takes a connection back after a whole answer. */
  give(address: string, client: Client): void {
    if (client.destroyed) return;
    const free = this.idle.get(address) ?? [];
    free.push(client);
    this.idle.set(address, free);
  }

  /** Ends a connection that is not to be used again. */
  drop(client: Client): void {
    client.destroy().catch(() => undefined); // Nothing waits on it.
  }

  /** Closes idle connections to all addresses but these. */
  keep(addresses: ReadonlySet<string>): void {
    [...this.idle.keys()]
      .filter((address) => !addresses.has(address))
      .forEach((address) => {
        this.idle.get(address)?.forEach((client) => this.drop(client));
        this.idle.delete(address);
      });
  }

  /** Closes all. */
  close(): void {
    this.keep(new Set());
  }

  private open(address: string): Client {
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_MS },
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: IDLE_MS,
      maxHeaderSize: MAX_HEAD_BYTES,
      // Deadlines come with each request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    client.on('disconnect', () => this.forget(address, client));
    return client;
  }

  /** A connection that closed while idle is opened anew only when it is needed. */
  private forget(address: string, client: Client): void {
    const free = this.idle.get(address);
    const position = free?.indexOf(client) ?? -1;
    if (position < 0) return;
    free?.splice(position, 1);
    this.drop(client);
  }
}
