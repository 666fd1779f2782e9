import type { IncomingMessage } from 'node:http';
import { ImmediateTask } from '../utils/immediateTask';

/** Most pieces of bodies that are handled in a turn of the event loop, and their bytes. */
const MAX_PIECES = 1_000;
const MAX_BYTES = 1_048_576;

/** A connection that can be paused. */
interface PausableSocket {
  readonly pause: () => unknown;
  readonly resume: () => unknown;
  readonly on: (event: 'resume' | 'close', listener: () => void) => unknown;
}

/**
 * Divides the turns of the event loop among the connections that send bodies.
 *
 * The parser handles all that has arrived on a connection in one go, a call for each piece. With
 * chunks of one byte that takes seconds, in which nobody else is served. A connection that uses up
 * a turn is paused until its next one; the operating system keeps what its caller sends meanwhile.
 *
 * @example
 * request.on('data', (piece) => turns.recordPiece(request.socket, piece.length));
 */
export class ReadTurns {
  private pieces = 0;

  private bytes = 0;

  private readonly paused = new Set<PausableSocket>();

  /** Connections that were paused before, whose resumption is guarded. */
  private readonly guarded = new WeakSet<PausableSocket>();

  private readonly turnTask = new ImmediateTask(() => this.beginTurn());

  /** Records a piece of a body that was received on a connection. */
  recordPiece(socket: PausableSocket, bytes: number): void {
    this.pieces += 1;
    this.bytes += bytes;
    this.turnTask.schedule();
    if (this.pieces > MAX_PIECES || this.bytes > MAX_BYTES) this.pause(socket);
  }

  private pause(socket: PausableSocket): void {
    if (this.paused.has(socket)) return;
    this.paused.add(socket);
    if (!this.guarded.has(socket)) {
      this.guarded.add(socket);
      // The HTTP server resumes a connection whenever its request has room for more.
      socket.on('resume', () => {
        if (this.paused.has(socket)) socket.pause();
      });
      socket.on('close', () => this.paused.delete(socket));
    }
    socket.pause();
  }

  /** Lets the connection go on that waits longest. */
  private beginTurn(): void {
    this.pieces = 0;
    this.bytes = 0;
    const [next] = this.paused;
    if (!next) return;
    this.paused.delete(next);
    next.resume();
    this.turnTask.schedule();
  }
}

/** The turns of this process, which has one event loop. */
export const readTurns = new ReadTurns();

/**
 * Discards the rest of a body, without keeping other connections waiting.
 *
 * @example
 * discardBody(request);
 */
export const discardBody = (request: IncomingMessage): void => {
  // A reader that has refused the body goes on to count its pieces.
  if (request.listenerCount('data') > 0) request.resume();
  else request.on('data', (piece: Buffer) => readTurns.recordPiece(request.socket, piece.length));
};
