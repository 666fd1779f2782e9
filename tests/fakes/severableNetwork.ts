import type { Socket } from 'node:net';
import { openNetworkSocket } from '../../src/relay/workerConnection';
import type { Connector } from '../../src/relay/workerConnection';

/** What becomes of new connections: opened, refused at once, or never answered. */
export type NetworkMode = 'open' | 'refused' | 'silent';

const CONNECT_TIMEOUT_MS = 300;

/** The way of one entry to the backend servers, which a test can cut. */
export class SeverableNetwork {
  private mode: NetworkMode = 'open';

  private readonly sockets = new Set<Socket>();

  readonly connect: Connector = (options, callback) => {
    const failures: Record<Exclude<NetworkMode, 'open'>, [string, number]> = {
      refused: ['connect ECONNREFUSED', 0], silent: ['connect timeout', CONNECT_TIMEOUT_MS],
    };
    if (this.mode !== 'open') {
      const [reason, delayMs] = failures[this.mode];
      const code = this.mode === 'silent' ? 'ETIMEDOUT' : 'ECONNREFUSED';
      setTimeout(() => callback(Object.assign(new Error(reason), { code }), null), delayMs);
      return;
    }
    openNetworkSocket(options, (...result) => {
      const [, socket] = result;
      if (socket) this.sockets.add(socket);
      callback(...result);
    });
  };

  /** Changes what becomes of new connections; open ones are closed unless they are kept. */
  setMode(mode: NetworkMode, keepsOpen = false): void {
    this.mode = mode;
    if (keepsOpen) return;
    this.sockets.forEach((socket) => socket.destroy());
    this.sockets.clear();
  }
}
