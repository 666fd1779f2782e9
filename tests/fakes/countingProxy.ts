import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Stands between two processes, and counts the pieces of bytes that pass either way. */
export class CountingProxy {
  pieces = 0;

  address = '';

  private readonly sockets: Socket[] = [];

  private readonly server = createServer((socket) => {
    const [host = '', port = ''] = this.readTarget().split(':');
    const other = connect(Number(port), host);
    const forward = (from: Socket, to: Socket): void => {
      this.sockets.push(from);
      from.on('data', (piece) => {
        this.pieces += 1;
        to.write(piece);
      });
      from.on('error', () => undefined);
      from.on('close', () => to.destroy());
    };
    forward(socket, other);
    forward(other, socket);
  });

  constructor(private readonly readTarget: () => string) {}

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, HOST, () => resolve());
    });
    this.address = `${HOST}:${(this.server.address() as AddressInfo).port}`;
    return this.address;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }
}
