import type { Socket } from 'node:net';

/**
 * One socket of a connection to a backend server. It can be paused: then it delivers neither bytes
 * nor its end to the HTTP library. The library can pause its parser instead, but if the socket ends
 * meanwhile, it fails an assertion, which ends the process, or discards the end of the answer.
 *
 * @example
 * const workerSocket = new WorkerSocket(socket); // before the HTTP library gets the socket
 * workerSocket.pause();
 * workerSocket.resume();
 */
export class WorkerSocket {
  private isPaused = false;

  /** Whether the socket had no peer when it ended. */
  private hasLostPeer = false;

  /** Whether the peer ended its side before this process had written all bytes. */
  private hasEndedEarly = false;

  constructor(private readonly socket: Socket) {
    const read = socket.read.bind(socket);
    const push = socket.push.bind(socket);
    Object.assign(socket, {
      read: (size?: number): unknown => (this.isPaused ? null : read(size)),
      // The result false stops reading from the network until the next `read`, so a reset is found
      // only after the bytes in front of it: it would discard those that are in the buffer.
      push: (chunk: unknown): boolean => push(chunk) && !this.isPaused,
    });
    // A reset that is found together with the bytes in front of it is reported as an end. A socket
    // that was reset has no peer any more, unlike one whose peer has closed it.
    socket.once('end', () => {
      this.hasLostPeer = socket.remoteAddress === undefined;
      this.hasEndedEarly = socket.writableLength > 0;
    });
  }

  /** Whether the server or the network reset the socket. */
  get wasReset(): boolean {
    return this.hasLostPeer || Boolean(this.socket.errored);
  }

  /** Whether the peer ended its side while bytes for it were still to be written. */
  get wasEndedEarly(): boolean {
    return this.hasEndedEarly;
  }

  /** Stops the delivery after the chunk that is being delivered. */
  pause(): void {
    this.isPaused = true;
  }

  /** Delivers what has arrived meanwhile; must not be called while a chunk is being delivered. */
  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    if (!this.socket.destroyed) this.socket.emit('readable');
  }
}
