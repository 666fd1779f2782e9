import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { readBody } from './readBody';

const HOST = '127.0.0.1';
/** Interval between the events of a stream, in milliseconds. */
const EVENT_MS = 25;
/** Size of a chunk of a bulk answer: below the high-water mark of a socket. */
const BULK_BYTES = 12_000;
const BULK_MS = 1;
/** Time between the two checks that find a reader blocked, in milliseconds. */
const BLOCKED_MS = 10;

/** Form of the answer that a request asks for. */
export type AnswerForm = 'plain' | 'stream' | 'bulk';

const readNumber = ({ headers }: IncomingMessage, name: string): number => (
  Number(headers[name] ?? 0));

const formatEvent = (number: number): string => `id: ${number}\ndata: x\n\n`;

/** Formats the body of a stream with that many events. */
export const formatEvents = (count: number): string => (
  Array.from({ length: count }, (unused, position) => formatEvent(position + 1)).join('')
);

/** Counts the events of a stream of that duration. */
export const countEvents = (
  durationMs: number,
): number => Math.max(1, Math.ceil(durationMs / EVENT_MS));

/**
 * A backend server that records the requests it runs. The headers x-form, x-lasts and x-bytes of a
 * request set the form, the duration and the size of the answer.
 */
export class PacedServer {
  /** Ids of the requests that it started to run, in order. */
  readonly runs: string[] = [];

  /** Time by which each other running stream delays every event of a stream, in milliseconds. */
  loadMs = 0;

  private running = 0;

  /** Whether the reader of a bulk answer is currently not reading. */
  isReaderBlocked = (): boolean => true;

  /** Resolves when the server has ended a bulk answer. */
  readonly bulkEnded: Promise<void>;

  private resolveBulkEnded: () => void = () => undefined;

  private readonly server: Server;

  constructor() {
    this.bulkEnded = new Promise((resolve) => {
      this.resolveBulkEnded = resolve;
    });
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
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
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await readBody(request);
    this.runs.push(String(request.headers['x-id']));
    const forms: Record<AnswerForm, () => Promise<void>> = {
      plain: () => this.answerPlain(request, response),
      stream: () => this.answerStream(request, response),
      bulk: () => this.answerBulk(request, response),
    };
    await forms[request.headers['x-form'] as AnswerForm | undefined ?? 'plain']();
  }

  private async answerPlain(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await pause(readNumber(request, 'x-lasts'));
    const bytes = Math.max(1, readNumber(request, 'x-bytes'));
    response.writeHead(200, {
      'x-id': String(request.headers['x-id']), 'content-length': bytes,
    }).end('x'.repeat(bytes));
  }

  /** Sends a stream; a resumed one continues after the last event that its caller received. */
  private async answerStream(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await pause(readNumber(request, 'x-head-after'));
    response.writeHead(200, {
      'x-id': String(request.headers['x-id']), 'content-type': 'text/event-stream',
    });
    const last = countEvents(readNumber(request, 'x-lasts'));
    const sendFrom = async (number: number): Promise<void> => {
      if (number > last || response.destroyed) return;
      response.write(formatEvent(number));
      await pause(EVENT_MS + this.loadMs * (this.running - 1));
      await sendFrom(number + 1);
    };
    this.running += 1;
    await sendFrom(readNumber(request, 'x-last') + 1);
    this.running -= 1;
    response.end();
  }

  /** Sends chunks until the reader is blocked, and then ends the answer. */
  private async answerBulk(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.writeHead(200, { 'x-id': String(request.headers['x-id']) });
    const sendMore = async (): Promise<void> => {
      response.write('x'.repeat(BULK_BYTES));
      await pause(BULK_MS);
      if (response.destroyed || await this.isReaderStillBlocked()) return;
      await sendMore();
    };
    await sendMore();
    response.end();
    this.resolveBulkEnded();
  }

  private async isReaderStillBlocked(): Promise<boolean> {
    if (!this.isReaderBlocked()) return false;
    await pause(BLOCKED_MS);
    return this.isReaderBlocked();
  }
}
