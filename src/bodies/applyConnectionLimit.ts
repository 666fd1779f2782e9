import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The connections of a server, the one that was used longest ago first. */
class ConnectionTable {
  private readonly requests = new Map<Socket, IncomingMessage | undefined>();

  /** Number of open connections. */
  get size(): number {
    return this.requests.size;
  }

  /** Adds a connection, or records that a request begins on it. */
  record(socket: Socket, request?: IncomingMessage): void {
    this.requests.delete(socket);
    this.requests.set(socket, request);
  }

  /** Removes a connection that has closed. */
  remove(socket: Socket): void {
    this.requests.delete(socket);
  }

  /** Records that a request was answered. */
  recordAnswer(socket: Socket, request: IncomingMessage): void {
    if (this.requests.get(socket) === request) this.record(socket);
  }

  /** Finds the first connection on which no complete request is being answered. */
  findUnused(): Socket | undefined {
    return [...this.requests].find(([, request]) => !request?.complete)?.[0];
  }
}

/**
 * Limits the connections of a server, so that it leaves descriptors for everything else. At the
 * limit the connection that was used longest ago gives way to a new one, unless a complete request
 * is being answered on it: it may be one that never sends a request.
 *
 * @example
 * applyConnectionLimit(app.server, computeMaxConnections(limits, 'callers'));
 */
export const applyConnectionLimit = (server: Server, maxConnections: number): void => {
  const table = new ConnectionTable();
  server.on('connection', (socket: Socket) => {
    if (table.size >= maxConnections) {
      const unused = table.findUnused() ?? socket;
      table.remove(unused);
      unused.destroy();
    }
    if (socket.destroyed) return;
    table.record(socket);
    socket.once('close', () => table.remove(socket));
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    table.record(socket, request);
    response.once('close', () => {
      if (!socket.destroyed) table.recordAnswer(socket, request);
    });
  });
};
