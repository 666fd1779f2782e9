import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A device between two ends that counts, and loses track of open connections on demand. */
export class SilentProxy {
  address = '';

  /** Connections since the start. */
  connectionCount = 0;

  /** Pieces of bytes that passed either way. */
  chunkCount = 0;

  /** Refuses everything: the two ends are cut off from one another. */
  isPartitioned = false;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor(private readonly target: string) {
    this.server = createServer((socket) => this.accept(socket));
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** From now on nothing passes over the connections that are open; they are not closed. */
  dropTraffic(): void {
    this.sockets.forEach((socket) => {
      socket.unpipe();
      socket.removeAllListeners('data');
      socket.resume();
      socket.on('error', () => undefined);
    });
    this.sockets.clear();
  }

  /** Cuts the two ends off, or lets them reach one another again. */
  setPartitioned(isPartitioned: boolean): void {
    this.isPartitioned = isPartitioned;
    if (isPartitioned) this.dropTraffic();
  }

  stop(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private accept(socket: Socket): void {
    this.connectionCount += 1;
    if (this.isPartitioned) {
      socket.destroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const other = connect(Number(port), host);
    [socket, other].forEach((end) => {
      this.sockets.add(end);
      end.on('error', () => end.destroy());
      end.on('close', () => this.sockets.delete(end));
      end.on('data', () => {
        this.chunkCount += 1;
      });
    });
    socket.pipe(other);
    other.pipe(socket);
    socket.on('close', () => other.destroy());
    other.on('close', () => socket.destroy());
  }
}
