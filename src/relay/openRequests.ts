import type { IncomingMessage, ServerResponse } from 'node:http';
import { HeldCalls } from '../utils/heldCalls';
import type { RelayMetrics } from './relayMetrics';

/** A request that is under way. */
export interface OpenRequest {
  /** Serves it; never rejects. */
  readonly run: () => Promise<void>;
  /** Answers it finally, unless its caller has the beginning of an answer already. */
  readonly endWithEntry: () => void;
  /** Ends an answer that has begun, so that what came of it does not look whole. */
  readonly breakOff: () => void;
}

/** The connection that an answer goes out on. */
interface AnswerConnection {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Resolves once an answer has been handed over to the network, or its connection has ended. */
const waitWritten = ({ request: { socket }, response }: AnswerConnection): Promise<void> => (
  response.writableFinished || response.destroyed || socket.destroyed
    ? Promise.resolve()
    : new Promise((resolve) => {
      const settle = (): void => {
        response.off('close', settle);
        socket.off('close', settle);
        resolve();
      };
      response.once('close', settle);
      socket.once('close', settle);
    })
);

/**
 * The requests that an entry has taken and whose answers have not been written to the last byte.
 *
 * @example
 * await openRequests.serve(request, { request: raw, response });
 * await openRequests.waitIdle(3_000);
 */
export class OpenRequests {
  private readonly open = new Set<OpenRequest>();

  private readonly idle = new HeldCalls();

  /** Requests that were taken so far. */
  acceptedCount = 0;

  constructor(private readonly metrics: Pick<RelayMetrics, 'open'>) {}

  /** Requests that are open. */
  get count(): number {
    return this.open.size;
  }

  /** Serves a request, which is open until its answer is written. */
  async serve(request: OpenRequest, connection: AnswerConnection): Promise<void> {
    this.open.add(request);
    this.acceptedCount += 1;
    this.metrics.open.inc();
    await request.run();
    await waitWritten(connection);
    this.open.delete(request);
    this.metrics.open.dec();
    if (this.open.size === 0) this.idle.release();
  }

  /** Resolves when no request is open, after the time at the latest. */
  waitIdle(maxMs: number): Promise<void> {
    return this.open.size === 0 ? Promise.resolve() : this.idle.hold(Math.max(0, maxMs));
  }

  /** Answers all that have no answer yet. */
  endAll(): void {
    [...this.open].forEach((request) => request.endWithEntry());
  }

  /** Breaks off the answers that are under way. */
  abortAll(): void {
    [...this.open].forEach((request) => request.breakOff());
  }
}
