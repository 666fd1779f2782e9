/** Callers that send what no well-behaved caller sends, many at a time. */
import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** What each caller of a crowd sends. */
export interface CrowdScript {
  /** Sent once, first. */
  readonly head: string;
  /** Sent repeatedly behind the head; a multiple of it is what a caller sends in all. */
  readonly piece: Buffer;
  readonly pieceCount: number;
  /** Whether the caller reads what it is answered; all do unless this is false. */
  readonly reads?: boolean;
}

/** Time without progress of any caller after which a crowd has sent what is accepted, in ms. */
const STALL_MS = 1_500;
const POLL_MS = 50;

/** Formats the same chunk of a body several times, as one buffer to send. */
export const formatChunks = (bytes: number, count: number): Buffer => (
  Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`.repeat(count)));

/** Formats the head of a request whose body comes in chunks, or has the given length. */
export const formatHead = (path: string, length?: number): string => {
  const framing = length === undefined ? 'transfer-encoding: chunked' : `content-length: ${length}`;
  return `POST ${path} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: crowd\r\n${framing}\r\n\r\n`;
};

/**
 * Callers that keep their connections open until the crowd is closed.
 *
 * @example
 * const crowd = new Crowd('127.0.0.4:8080', script, 60);
 * await crowd.waitSent();
 */
export class Crowd {
  private readonly sockets: Socket[];

  private readonly ended = new Set<Socket>();

  private progress = 0;

  constructor(address: string, private readonly script: CrowdScript, count: number) {
    const [host = '', port] = address.split(':');
    this.sockets = Array.from({ length: count }, () => this.openCaller(host, Number(port)));
  }

  /** Resolves once each caller has sent all, or was closed, or none makes progress any more. */
  async waitSent(): Promise<void> {
    let last = -1;
    let stalledMs = 0;
    while (stalledMs < STALL_MS && this.ended.size < this.sockets.length) {
      stalledMs = this.progress === last ? stalledMs + POLL_MS : 0;
      last = this.progress;
      // eslint-disable-next-line no-await-in-loop -- A poll.
      await pause(POLL_MS);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private openCaller(host: string, port: number): Socket {
    const socket = new Socket();
    const recordEnd = (): void => {
      this.ended.add(socket);
      this.progress += 1;
    };
    socket.on('error', recordEnd);
    socket.on('close', recordEnd);
    if (this.script.reads !== false) socket.resume();
    socket.connect(port, host, () => {
      socket.write(this.script.head);
      this.sendPieces(socket, this.script.pieceCount);
    });
    return socket;
  }

  private sendPieces(socket: Socket, left: number): void {
    this.progress += 1;
    if (socket.destroyed || !socket.writable) return;
    if (left > 0) socket.write(this.script.piece, () => this.sendPieces(socket, left - 1));
  }
}
