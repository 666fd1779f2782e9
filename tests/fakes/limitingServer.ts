import type { ServerScript } from './scriptedServer';
import { sendAnswer } from './scriptedServer';

const ANSWER_MS = 150;

/**
 * Script of a server that names a rate limit in its answers, and records when requests arrived.
 *
 * @example
 * const server = new LimitingServer();
 * server.limit = '1.4';
 */
export class LimitingServer {
  /** Value of the header of its next answers; none is sent if it is empty. */
  limit = '';

  /** When requests arrived, monotonic milliseconds. */
  readonly arrivals: number[] = [];

  readonly script: ServerScript = (socket, request) => {
    this.arrivals.push(performance.now());
    const id = /x-id: (\S+)/.exec(request)?.[1] ?? '';
    setTimeout(() => {
      const header = this.limit === '' ? '' : `x-limit: ${this.limit}\r\n`;
      sendAnswer(socket, id, 'done', 200, header);
    }, ANSWER_MS);
  };

  /** Counts the requests that arrived between two times. */
  countBetween(from: number, to: number): number {
    return this.arrivals.filter((at) => at >= from && at < to).length;
  }

  /** Counts the requests in the fullest window after a time. */
  countMostWithin(windowMs: number, from: number): number {
    const later = this.arrivals.filter((at) => at >= from);
    return Math.max(0, ...later.map((at) => this.countBetween(at, at + windowMs)));
  }
}
