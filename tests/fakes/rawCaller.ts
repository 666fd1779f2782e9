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
  readonly cut: string;
}

/** Bytes that a slow writer sends at once, and how often. */
const PIECE_BYTES = 16_384;
const PIECE_MS = 5;
/** Bytes that show how an answer ended: enough for a head. */
const SHOWN_BYTES = 300;

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

  private waiting: (() => void) | undefined;

  private endedAt = 0;

  private cut = '';

  private constructor() {
    const { socket } = this;
    socket.on('data', (piece) => {
      this.received.push(piece);
      this.waiting?.();
    });
    socket.on('error', ({ message }) => {
      this.cut ||= message;
    });
    socket.on('end', () => this.noteEnd('ended'));
    socket.on('close', () => this.noteEnd('closed'));
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
  holdReading(): void {
    this.socket.pause();
  }

  resumeReading(): void {
    this.socket.resume();
  }

  /** Sends a request and waits for its answer or the end of the connection. */
  async ask(request: CallerRequest): Promise<CallerResult> {
    this.socket.write(formatRequest(request) + (request.body ?? ''));
    return this.takeAnswer(performance.now());
  }

  /** Sends some requests in one write, and waits for the answer to the first. */
  async askTogether(requests: readonly CallerRequest[]): Promise<CallerResult> {
    this.socket.write(requests.map((request) => formatRequest(request) + (request.body ?? '')).join(''));
    return this.takeAnswer(performance.now());
  }

  /** Sends one with a body that is written piece by piece, and nothing read before it is out. */
  async askSlowly(request: CallerRequest): Promise<CallerResult> {
    this.holdReading();
    this.socket.write(formatRequest(request));
    await this.writePieces(request.body ?? '');
    const sentAt = performance.now();
    this.resumeReading();
    return this.takeAnswer(sentAt);
  }

  /** The same, and nothing is read until it goes on reading. */
  askHeld(request: CallerRequest): Promise<CallerResult> {
    this.holdReading();
    return this.ask(request);
  }

  /** Resolves once the next answer is whole, or the connection has ended. */
  async takeAnswer(sentAt: number): Promise<CallerResult> {
    const bytes = Buffer.concat(this.received);
    const whole = parseAnswer(bytes);
    if (whole) {
      this.received = [bytes.subarray(whole.length)];
      return {
        answer: whole.answer, partial: '', sentAt, endedAt: performance.now(), cut: '',
      };
    }
    if (this.isEnded) {
      const partial = bytes.toString('latin1', 0, SHOWN_BYTES);
      return {
        answer: undefined, partial, sentAt, endedAt: this.endedAt, cut: this.cut,
      };
    }
    await new Promise<void>((resolve) => {
      this.waiting = resolve;
    });
    return this.takeAnswer(sentAt);
  }

  close(): void {
    this.socket.destroy();
  }

  private async writePieces(body: string): Promise<void> {
    if (body.length === 0 || this.socket.destroyed) return;
    this.socket.write(body.slice(0, PIECE_BYTES));
    await pause(PIECE_MS);
    await this.writePieces(body.slice(PIECE_BYTES));
  }

  private noteEnd(reason: string): void {
    this.cut ||= reason;
    this.endedAt ||= performance.now();
    this.waiting?.();
  }
}
