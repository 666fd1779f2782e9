import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { AnnouncementSender } from './fragileServer';
import { readBody } from './readBody';

const HOST = '127.0.0.1';
const ANNOUNCE_MS = 200;
/** Interval between the events of a stream, in milliseconds. */
const EVENT_MS = 25;
/** Number of events of each complete stream. */
export const EVENT_COUNT = 40;

/** Names of the headers from which a server reads the id of a request and its last event. */
export interface ServerHeaders {
  readonly id: string;
  readonly last: string;
}

const TEST_HEADERS: ServerHeaders = { id: 'x-id', last: 'x-last' };

/** Identity that a versioned server announces. */
export interface VersionedServerParts {
  readonly id: string;
  readonly service: string;
  readonly software: string;
  readonly announce: AnnouncementSender;
  /** Defaults to those of the test dialect. */
  readonly headers?: ServerHeaders;
  /** Whether its answers have no length and end with their connection. */
  readonly isCloseDelimited?: boolean;
}

/** A backend server that streams events which name the version of its software. */
export class VersionedServer {
  /** Ids of the requests that it started to run, in order. */
  readonly runs: string[] = [];

  private readonly server: Server;

  private announceTimer: NodeJS.Timeout | undefined;

  private sequence = 0;

  constructor(private readonly parts: VersionedServerParts) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  get id(): string {
    return this.parts.id;
  }

  get software(): string {
    return this.parts.software;
  }

  /** Listens and announces itself. */
  async open(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, HOST, () => resolve());
    });
    this.announceTimer = setInterval(() => this.sendAnnouncement('ready'), ANNOUNCE_MS);
    this.sendAnnouncement('ready');
  }

  /** Ends at once: its streams break off, and it announces nothing more. */
  crash(): void {
    clearInterval(this.announceTimer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Deregisters and ends. */
  shutDown(): void {
    this.sendAnnouncement('gone');
    this.crash();
  }

  private sendAnnouncement(state: 'ready' | 'gone'): void {
    const { id: workerId, service, software } = this.parts;
    const { port } = this.server.address() as AddressInfo;
    this.sequence += 1;
    this.parts.announce(WorkerAnnouncement.fromPartial({
      workerId, service, software, address: `${HOST}:${port}`, zone: 'a', slots: 6, state, sequence: this.sequence,
    })).catch(() => undefined); // The next announcement follows soon.
  }

  /** Streams the events after the last one that the caller has. */
  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await readBody(request);
    const names = this.parts.headers ?? TEST_HEADERS;
    const { [names.id]: id = '', [names.last]: last = '0' } = request.headers;
    this.runs.push(String(id));
    if (this.parts.isCloseDelimited) {
      Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    }
    response.writeHead(200, { [names.id]: String(id), 'content-type': 'text/event-stream' });
    const sendFrom = async (number: number): Promise<void> => {
      if (number > EVENT_COUNT || response.destroyed) return;
      response.write(`id: ${number}\ndata: ${this.software}\n\n`);
      await pause(EVENT_MS);
      await sendFrom(number + 1);
    };
    await sendFrom(Number(last) + 1);
    response.end();
  }
}
