import type { IncomingMessage, ServerResponse } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';
import { BlockPool } from './blockPool';
import { BodyBudget } from './bodyBudget';
import { BodyCollector } from './bodyCollector';
import { discardBody, readTurns } from './readTurns';

/** Longest time that a caller may take to send its body, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;
/** Retry-After of a request whose body does not fit beside those of others, in milliseconds. */
const FULL_RETRY_MS = 1_000;

const makeFullError = (): BeechliftError => new BeechliftError('queueFull', 'the bodies of other requests use up the memory that this process has for them', { retryAfterMs: FULL_RETRY_MS });

/** Resolves with a body, or rejects with why it is refused. */
interface BodyPromise {
  readonly resolve: (body: Buffer) => void;
  readonly reject: (error: BeechliftError) => void;
}

/**
 * Reads the bodies of requests, and bounds what they use together: the memory that they hold, and
 * the time of the event loop.
 *
 * @example
 * const reader = new BodyReader(16_777_216);
 * const body = await reader.read(request, response, 4_194_304);
 */
export class BodyReader {
  private readonly budget: BodyBudget;

  private readonly pool = new BlockPool();

  /** @param maxBytes most bytes that all bodies hold together */
  constructor(maxBytes: number) {
    this.budget = new BodyBudget(maxBytes);
  }

  /**
   * Reads a whole body. A request is forwarded only once its body is complete, so a request whose
   * caller disconnects before that has not run. The body counts until its response is closed.
   *
   * @param maxBytes a longer body is refused and discarded
   */
  read(
    request: IncomingMessage,
    response: Pick<ServerResponse, 'once' | 'destroyed'>,
    maxBytes: number,
  ): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      const declared = Number(request.headers['content-length'] ?? 0);
      if (declared > maxBytes) {
        discardBody(request);
        reject(new BeechliftError('bodyTooLarge', `the body has ${declared} bytes, at most ${maxBytes} are allowed`));
        return;
      }
      // A destroyed request emits neither 'end' nor 'error'.
      if (request.destroyed || response.destroyed) {
        reject(new BeechliftError('callerGone', 'the caller disconnected before its body was read'));
        return;
      }
      this.collect(request, response, maxBytes, { resolve, reject });
    });
  }

  private collect(
    request: IncomingMessage,
    response: Pick<ServerResponse, 'once'>,
    maxBytes: number,
    { resolve, reject }: BodyPromise,
  ): void {
    let collector: BodyCollector | undefined = new BodyCollector(this.pool);
    let timer: NodeJS.Timeout | undefined;
    const refuse = (error: BeechliftError): void => {
      clearTimeout(timer);
      collector?.clear();
      collector = undefined;
      reject(error);
    };
    const share = this.budget.open(() => refuse(makeFullError()));
    const end = (error: BeechliftError): void => {
      share.release();
      refuse(error);
    };
    timer = setTimeout(() => end(new BeechliftError('bodyTooSlow', `the body was not complete after ${BODY_TIMEOUT_MS} ms`)), BODY_TIMEOUT_MS);
    response.once('close', () => share.release());
    request.on('data', (piece: Buffer) => {
      readTurns.recordPiece(request.socket, piece.length);
      if (!collector) return;
      if (collector.length + piece.length > maxBytes) {
        end(new BeechliftError('bodyTooLarge', `the body exceeds the limit of ${maxBytes} bytes`));
      } else if (share.reserve(collector.measureGrowth(piece.length))) {
        collector.add(piece);
      } else {
        end(makeFullError());
      }
    });
    request.on('end', () => {
      clearTimeout(timer);
      share.complete();
      if (collector) resolve(collector.take());
    });
    request.on('error', (cause) => end(new BeechliftError('callerGone', 'the caller disconnected while it sent its body', { cause })));
  }
}
