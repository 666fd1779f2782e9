import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { parseAnswer } from './parseAnswer';
import type { ParsedAnswer } from './parseAnswer';

/** What a caller asks for. */
export interface CallerRequest {
  readonly id: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | number>>;
  readonly body?: string;
}

/** What a caller got for one request. */
export interface CallerResult {
  /** The whole answer; undefined where its connection ended before. */
  readonly answer: ParsedAnswer | undefined;
  /** What came of an answer that is not whole. */
  readonly partial: string;
  /** When the last byte of the request was handed over, monotonic milliseconds. */
  readonly sentAt: number;
  /** When the answer was whole, or its connection ended. */
  readonly endedAt: number;
  /** Why the connection ended, if it did before the answer was whole. */
  readonly endReason: string;
}

/** Bytes that a slow writer sends at once, and how often. */
const CHUNK_BYTES = 16_384;
const CHUNK_INTERVAL_MS = 5;
/** Bytes that show how an answer ended: enough for a head. */
const MAX_PARTIAL_BYTES = 300;

const formatRequest = ({
  id, path, headers = {}, body = '',
}: CallerRequest): string => {
  const lines = Object.entries({ 'x-id': id, 'content-length': body.length, ...headers })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST ${path} HTTP/1.1\r\nhost: shop.example\r\n${lines.join('')}\r\n`;
};

/** One connection of a caller, whose every byte is seen and whose reading can be held. */
export class RawCaller {
  private readonly socket = new Socket();

  private received: Buffer[] = [];

  private notifyReader: (() => void) | undefined;

  private endedAt = 0;

  private endReason = '';

  private constructor() {
    const { socket } = this;
    socket.on('data', (chunk) => {
      this.received.push(chunk);
      this.notifyReader?.();
    });
    socket.on('error', ({ message }) => {
      this.endReason ||= message;
    });
    socket.on('end', () => this.recordEnd('ended'));
    socket.on('close', () => this.recordEnd('closed'));
  }

  /** Resolves once it is connected; rejects where nobody listens. */
  static open(address: string): Promise<RawCaller> {
    const [host = '', port] = address.split(':');
    const caller = new RawCaller();
    return new Promise((resolve, reject) => {
      caller.socket.once('error', reject);
      caller.socket.connect(Number(port), host, () => {
        caller.socket.off('error', reject);
        resolve(caller);
      });
    });
  }

  /** Whether the other end has closed it. */
  get isEnded(): boolean {
    return this.endedAt > 0;
  }

  /** Reads nothing until it is told to go on. */
  pauseReading(): void {
    this.socket.pause();
  }

  resumeReading(): void {
    this.socket.resume();
  }

  /** Sends a request and waits for its answer or the end of the connection. */
  async send(request: CallerRequest): Promise<CallerResult> {
    this.socket.write(formatRequest(request) + (request.body ?? ''));
    return this.waitForAnswer(performance.now());
  }

  /** Sends some requests in one write, and waits for the answer to the first. */
  async sendPipelined(requests: readonly CallerRequest[]): Promise<CallerResult> {
    this.socket.write(requests.map((request) => formatRequest(request) + (request.body ?? '')).join(''));
    return this.waitForAnswer(performance.now());
  }

  /** Sends one with a body that is written piece by piece, and nothing read before it is out. */
  async sendSlowly(request: CallerRequest): Promise<CallerResult> {
    this.pauseReading();
    this.socket.write(formatRequest(request));
    await this.writeChunks(request.body ?? '');
    const sentAt = performance.now();
    this.resumeReading();
    return this.waitForAnswer(sentAt);
  }

  /** The same, and nothing is read until it goes on reading. */
  sendPaused(request: CallerRequest): Promise<CallerResult> {
    this.pauseReading();
    return this.send(request);
  }

  /** Resolves once the next answer is whole, or the connection has ended. */
  async waitForAnswer(sentAt: number): Promise<CallerResult> {
    const bytes = Buffer.concat(this.received);
    const complete = parseAnswer(bytes);
    if (complete) {
      this.received = [bytes.subarray(complete.length)];
      return {
        answer: complete.answer, partial: '', sentAt, endedAt: performance.now(), endReason: '',
      };
    }
    if (this.isEnded) {
      const partial = bytes.toString('latin1', 0, MAX_PARTIAL_BYTES);
      return {
        answer: undefined, partial, sentAt, endedAt: this.endedAt, endReason: this.endReason,
      };
    }
    await new Promise<void>((resolve) => {
      this.notifyReader = resolve;
    });
    return this.waitForAnswer(sentAt);
  }

  close(): void {
    this.socket.destroy();
  }

  private async writeChunks(body: string): Promise<void> {
    if (body.length === 0 || this.socket.destroyed) return;
    this.socket.write(body.slice(0, CHUNK_BYTES));
    await pause(CHUNK_INTERVAL_MS);
    await this.writeChunks(body.slice(CHUNK_BYTES));
  }

  private recordEnd(reason: string): void {
    this.endReason ||= reason;
    this.endedAt ||= performance.now();
    this.notifyReader?.();
  }
}
