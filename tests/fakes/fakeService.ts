import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { readBody } from './readBody';

/** A fake backend server of a service that is not an engine. It records all calls. */
export class FakeService {
  /** Method, path and body of each call. */
  readonly calls: string[] = [];

  /** Duration of a call, in milliseconds. */
  workMs = 0;

  /**
   * Whether answers have neither a length nor chunks; they begin at once and end after the work.
   */
  isCloseDelimited = false;

  address = '';

  private readonly server: Server;

  constructor(readonly id: string, private readonly entries: readonly string[]) {
    this.server = createServer((incoming, response) => {
      this.answer(incoming, response).catch(() => response.destroy());
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sends an announcement to every entry. */
  async announce(): Promise<void> {
    await Promise.all(this.entries.map(async (entry) => {
      const response = await request(`http://${entry}/v1/announce`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          id: this.id, pool: 'rooms', kind: 'service', address: this.address, models: ['rooms'], slots: 4, state: 'ready',
        }),
      });
      await response.body.dump();
    }));
  }

  /** Simulates a crash: closes all connections at once. */
  crash(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async answer(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming);
    this.calls.push(`${incoming.method} ${incoming.url} ${body}`);
    const count = this.calls.length;
    if (!this.isCloseDelimited) await pause(this.workMs);
    else response.useChunkedEncodingByDefault = false;
    response.writeHead(201, { 'content-type': 'text/plain', 'x-door': incoming.headers['x-door'] ?? '' });
    if (this.isCloseDelimited) {
      response.write('room ');
      await pause(this.workMs);
      response.end(`${count} by ${this.id}`);
    } else response.end(`room ${count} by ${this.id}`);
  }
}
