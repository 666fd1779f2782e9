import { connect } from 'node:net';

/** Longest wait for a result, in milliseconds; a timeout does not count as refused. */
const PROBE_TIMEOUT_MS = 300;

const probeRefusal = (address: string): Promise<boolean> => new Promise((resolve) => {
  const colon = address.lastIndexOf(':');
  const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
  const settle = (isRefused: boolean): void => {
    socket.destroy();
    resolve(isRefused);
  };
  socket.setTimeout(PROBE_TIMEOUT_MS, () => settle(false));
  socket.once('connect', () => settle(false));
  socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'));
});

/**
 * Checks whether the process of a server has ended or the server only closed a connection: new
 * connections are refused only if the process has ended. Requests that fail at one server at the
 * same time share one check.
 *
 * @example
 * const hasEnded = await probe.isRefused('10.0.0.9:8080');
 */
export class ConnectionProbe {
  private readonly pending = new Map<string, Promise<boolean>>();

  /** Whether the address refuses connections; never rejects. */
  isRefused(address: string): Promise<boolean> {
    const running = this.pending.get(address);
    if (running) return running;
    const probe = probeRefusal(address).finally(() => this.pending.delete(address));
    this.pending.set(address, probe);
    return probe;
  }
}
