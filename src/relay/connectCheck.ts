import { connect } from 'node:net';

/** Longest wait for an answer, in milliseconds: one that does not come says nothing. */
const ANSWER_MS = 300;

const askRefused = (address: string): Promise<boolean> => new Promise((resolve) => {
  const colon = address.lastIndexOf(':');
  const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
  const settle = (isRefused: boolean): void => {
    socket.destroy();
    resolve(isRefused);
  };
  socket.setTimeout(ANSWER_MS, () => settle(false));
  socket.once('connect', () => settle(false));
  socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'));
});

/**
 * Tells servers whose process has ended from those that only closed a connection: the first refuse
 * new ones. Requests that broke off at one server at the same time share one check.
 *
 * @example
 * const hasEnded = await check.isRefused('10.0.0.9:8080');
 */
export class ConnectCheck {
  private readonly open = new Map<string, Promise<boolean>>();

  /** Whether the address refuses connections; never rejects. */
  isRefused(address: string): Promise<boolean> {
    const known = this.open.get(address);
    if (known) return known;
    const asked = askRefused(address).finally(() => this.open.delete(address));
    this.open.set(address, asked);
    return asked;
  }
}
