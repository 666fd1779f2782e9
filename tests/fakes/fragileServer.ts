import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { findFreeAddress } from './freeAddress';
import { readBody } from './readBody';

/** A body with this text crashes every server that runs it. */
export const FATAL_TEXT = 'fatal';
/** A body with this text resets its connection; the server keeps running. */
export const RESET_TEXT = 'reset';
/** A body with this text is answered with an event stream. */
export const STREAM_TEXT = 'stream';
/** A body with this text is answered after a longer time. */
export const SLOW_TEXT = 'slow';
const ANSWER_MS = 30;
const SLOW_ANSWER_MS = 900;
const DOWN_MS = 500;
const ANNOUNCE_MS = 200;

/** Sends an announcement of a server to the leader. */
export type AnnouncementSender = (announcement: WorkerAnnouncement) => Promise<unknown>;

/** A backend server that crashes when it runs a marked request, and restarts soon after. */
export class FragileServer {
  /** When marked requests arrived, monotonic milliseconds. */
  readonly fatalTimes: number[] = [];

  /** When it crashed, monotonic milliseconds. */
  readonly crashTimes: number[] = [];

  private server: Server | undefined;

  private startCount = 0;

  private sequence = 0;

  private announceTimer: NodeJS.Timeout | undefined;

  private isClosed = false;

  private constructor(
    private readonly name: string,
    private readonly address: string,
    private readonly service: string,
    private readonly announce: AnnouncementSender,
    private readonly keepsId: boolean,
  ) {}

  /** @param keepsId whether a restarted server has the same id and only a new start time */
  static async start(
    name: string,
    service: string,
    announce: AnnouncementSender,
    keepsId = false,
  ): Promise<FragileServer> {
    const server = new FragileServer(name, await findFreeAddress(), service, announce, keepsId);
    await server.open();
    return server;
  }

  close(): void {
    this.isClosed = true;
    this.closeServer();
  }

  /** Simulates a crash that no request caused; the server restarts soon after. */
  async crash(): Promise<void> {
    if (!this.server) return;
    this.closeServer();
    this.crashTimes.push(performance.now());
    await pause(DOWN_MS);
    if (!this.isClosed) await this.open();
  }

  private async open(): Promise<void> {
    this.startCount += 1;
    const born = Date.now();
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    const [host, port] = this.address.split(':');
    await new Promise<void>((resolve) => {
      this.server?.listen(Number(port), host, resolve);
    });
    await this.sendAnnouncement(born);
    this.announceTimer = setInterval(() => {
      this.sendAnnouncement(born).catch(() => undefined); // The next announcement follows soon.
    }, ANNOUNCE_MS);
  }

  private closeServer(): void {
    clearInterval(this.announceTimer);
    this.server?.closeAllConnections();
    this.server?.close();
    this.server = undefined;
  }

  private async sendAnnouncement(born: number): Promise<void> {
    this.sequence += 1;
    await this.announce(WorkerAnnouncement.fromPartial({
      workerId: this.keepsId ? this.name : `${this.name}.${this.startCount}`,
      service: this.service,
      address: this.address,
      zone: 'a',
      slots: 6,
      state: 'ready',
      sequence: this.sequence,
      born,
    }));
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { server } = this;
    const body = await readBody(request);
    if (body.includes(RESET_TEXT)) {
      request.socket.resetAndDestroy();
      return;
    }
    const isFatal = body.includes(FATAL_TEXT);
    if (isFatal) this.fatalTimes.push(performance.now());
    const isStream = body.includes(STREAM_TEXT);
    const head = { 'x-id': request.headers['x-id'] ?? '' };
    if (isStream) response.writeHead(200, { ...head, 'content-type': 'text/event-stream' }).write('id: 1\ndata: x\n\n');
    await pause(body.includes(SLOW_TEXT) ? SLOW_ANSWER_MS : ANSWER_MS);
    if (server !== this.server) return;
    if (isFatal) {
      this.crash().catch(() => undefined); // No other process uses its port.
      return;
    }
    if (isStream) response.end('id: 2\ndata: x\n\n');
    else response.writeHead(200, head).end('fine');
  }
}
