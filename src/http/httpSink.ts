import { once } from 'node:events';
import type { FastifyReply } from 'fastify';
import { foldEvents } from '../entry/callers/answerSink';
import type { AnswerSink } from '../entry/callers/answerSink';
import type { CallerConnection } from '../entry/callers/requestJob';
import type { BeechliftError } from '../errors/beechliftError';
import { sendError } from './httpServer';

const KEEP_ALIVE_MS = 2_000;
const STREAM_HEADERS = {
  'content-type': 'text/event-stream', 'cache-control': 'no-cache', connection: 'keep-alive',
};

/**
 * Writes an answer to a caller, either as a stream of server-sent events or as one JSON document.
 *
 * Limits the memory that a slow caller uses: the next event is read from the engine only when the
 * caller's connection has drained.
 *
 * @example
 * const sink = new HttpSink(reply, true, '/v1/chat/completions');
 */
export class HttpSink implements AnswerSink {
  /** Connection to the caller. */
  readonly connection: CallerConnection;

  private readonly events: string[] = [];

  private nextEventId = 0;

  private hasStarted = false;

  private keepAlive: NodeJS.Timeout | undefined;

  private isDisconnected = false;

  constructor(
    private readonly reply: FastifyReply,
    private readonly isStream: boolean,
    private readonly path: string,
  ) {
    const listeners: (() => void)[] = [];
    reply.raw.on('close', () => {
      clearInterval(this.keepAlive);
      if (reply.raw.writableFinished) return;
      this.isDisconnected = true;
      listeners.forEach((listener) => listener());
    });
    this.connection = {
      isDisconnected: () => this.isDisconnected,
      onDisconnect: (listener) => {
        listeners.push(listener);
      },
    };
  }

  /** Writes one event, or stores it for a JSON document. */
  async deliver(data: string): Promise<void> {
    if (!this.isStream) {
      this.events.push(data);
      return;
    }
    this.startStream();
    await this.write(`id: ${this.nextEventId}\ndata: ${data}\n\n`);
    this.nextEventId += 1;
  }

  /** Ends a complete answer. */
  async end(): Promise<void> {
    clearInterval(this.keepAlive);
    if (this.isDisconnected) return;
    if (!this.isStream) {
      await this.reply.send(foldEvents(this.events, this.path.includes('chat')));
      return;
    }
    this.startStream();
    this.reply.raw.end('data: [DONE]\n\n');
  }

  /** Reports an error to the caller: by status, or by an event once the stream has started. */
  fail(error: BeechliftError): void {
    clearInterval(this.keepAlive);
    if (this.isDisconnected) return;
    if (!this.hasStarted) {
      sendError(this.reply, error);
      return;
    }
    this.reply.raw.end(`event: error\ndata: ${JSON.stringify(error.buildBody())}\n\n`);
  }

  private startStream(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    this.reply.hijack();
    this.reply.raw.writeHead(200, STREAM_HEADERS);
    // Comments in the stream let a caller distinguish a broken connection from a slow answer.
    this.keepAlive = setInterval(() => this.reply.raw.write(': keep-alive\n\n'), KEEP_ALIVE_MS);
    this.keepAlive.unref();
  }

  private async write(text: string): Promise<void> {
    if (this.isDisconnected || this.reply.raw.write(text)) return;
    await Promise.race([once(this.reply.raw, 'drain'), once(this.reply.raw, 'close')]);
  }
}
