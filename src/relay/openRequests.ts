import type { IncomingMessage, ServerResponse } from 'node:http';
import { HeldCalls } from '../utils/heldCalls';
import type { RelayMetrics } from './relayMetrics';
import { waitWritten } from './waitWritten';

/** Requests that are refused: those of which no server has a byte, or all without an answer. */
export type RefusalScope = 'unsent' | 'unanswered';

/** A request in progress. */
export interface OpenRequest {
  /** Serves the request; never rejects. */
  readonly run: () => Promise<void>;
  /** Refuses the request because the entry shuts down, unless an answer has started. */
  readonly refuseForShutdown: (scope: RefusalScope) => void;
  /** Aborts an answer that has started, so that it does not look complete. */
  readonly abortAnswer: () => void;
}

/** The request and response of an answer. */
interface AnswerConnection {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * The accepted requests of an entry whose answers are not fully written.
 *
 * @example
 * await openRequests.serve(request, { request: raw, response });
 * await openRequests.waitIdle(3_000);
 */
export class OpenRequests {
  private readonly open = new Set<OpenRequest>();

  private readonly idle = new HeldCalls();

  /** Number of requests that were accepted so far. */
  acceptedCount = 0;

  constructor(private readonly metrics: Pick<RelayMetrics, 'open'>) {}

  /** Number of open requests. */
  get count(): number {
    return this.open.size;
  }

  /** Serves a request; it is open until its answer is written. */
  async serve(request: OpenRequest, connection: AnswerConnection): Promise<void> {
    this.open.add(request);
    this.acceptedCount += 1;
    this.metrics.open.inc();
    await request.run();
    await waitWritten(connection.request.socket, connection.response);
    this.open.delete(request);
    this.metrics.open.dec();
    if (this.open.size === 0) this.idle.release();
  }

  /** Resolves once no request is open, or after `maxMs` milliseconds. */
  waitIdle(maxMs: number): Promise<void> {
    return this.open.size === 0 ? Promise.resolve() : this.idle.hold(Math.max(0, maxMs));
  }

  /** Refuses the requests of a scope; none whose answer has started. */
  refuseAll(scope: RefusalScope = 'unanswered'): void {
    [...this.open].forEach((request) => request.refuseForShutdown(scope));
  }

  /** Aborts all answers in progress. */
  abortAll(): void {
    [...this.open].forEach((request) => request.abortAnswer());
  }
}
