import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Handles the bytes of a request that a scripted server received. */
export type ServerScript = (socket: Socket, request: string, count: number) => void;

/** Writes a complete answer with a content-length. */
export const sendAnswer = (
  socket: Socket,
  id: string,
  body: string,
  status = 200,
  extraHeaders = '',
): void => {
  socket.write(`HTTP/1.1 ${status} X\r\nx-id: ${id}\r\n${extraHeaders}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
};

/** A backend server whose script writes the raw bytes of each answer. */
export class ScriptedServer {
  /** Raw requests in the order of their arrival. */
  readonly requests: string[] = [];

  /** Number of closed connections. */
  closedCount = 0;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor(private readonly script: ServerScript) {
    this.server = createServer((socket) => this.serve(socket));
  }

  /** Address on which it listens. */
  get address(): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(0, HOST, () => resolve());
    });
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closedCount += 1;
    });
    socket.on('data', (data) => {
      this.requests.push(data.toString('latin1'));
      this.script(socket, data.toString('latin1'), this.requests.length);
    });
  }
}
