import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A TCP proxy that counts connections and chunks, and drops the traffic of open connections. */
export class SilentProxy {
  address = '';

  /** Number of connections since the start. */
  connectionCount = 0;

  /** Number of chunks in both directions. */
  chunkCount = 0;

  /** Whether it closes all new connections: simulates a network partition. */
  isPartitioned = false;

  /** Time until a new connection carries data, in milliseconds: simulates an overloaded target. */
  openDelayMs = 0;

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

  /** Drops all further traffic of the open connections without closing them. */
  dropTraffic(): void {
    this.sockets.forEach((socket) => {
      socket.unpipe();
      socket.removeAllListeners('data');
      socket.resume();
      socket.on('error', () => undefined);
    });
    this.sockets.clear();
  }

  /** Starts or ends a network partition between both ends. */
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
    socket.on('error', () => socket.destroy());
    if (this.openDelayMs > 0) setTimeout(() => this.forward(socket), this.openDelayMs);
    else this.forward(socket);
  }

  private forward(socket: Socket): void {
    if (socket.destroyed) return;
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
