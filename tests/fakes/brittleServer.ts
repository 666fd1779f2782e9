import type { ServerScript } from './scriptedServer';
import { sendAnswer } from './scriptedServer';

const ANSWER_MS = 100;
const SECOND_MS = 1_000;

/**
 * Script of a server that has room for a few requests, turns others away, and says in all its
 * answers how many of them a second it bears.
 *
 * @example
 * const server = new BrittleServer(6, 5);
 */
export class BrittleServer {
  /** Whether it says that it is brittle. */
  isBrittle = true;

  private openCount = 0;

  /** When it turned requests away, monotonic milliseconds. */
  private readonly turnedAwayAt: number[] = [];

  /**
   * @param room requests that it works on at once
   * @param limit requests that it may turn away in a second
   */
  constructor(private readonly room: number, private readonly limit: number) {}

  readonly script: ServerScript = (socket, request) => {
    const id = /x-id: (\S+)/.exec(request)?.[1] ?? '';
    const header = this.isBrittle ? `x-brittle: ${this.limit}\r\n` : '';
    if (this.openCount >= this.room) {
      this.turnedAwayAt.push(performance.now());
      sendAnswer(socket, id, '', 503, `x-not-run: 1\r\n${header}`);
      return;
    }
    this.openCount += 1;
    setTimeout(() => {
      this.openCount -= 1;
      sendAnswer(socket, id, 'done', 200, header);
    }, ANSWER_MS);
  };

  /** Counts the requests that it turned away in its worst second after a time. */
  countMostTurnedAway(from: number): number {
    const later = this.turnedAwayAt.filter((at) => at >= from);
    return Math.max(0, ...later.map((at) => (
      later.filter((other) => other >= at && other < at + SECOND_MS).length)));
  }
}
