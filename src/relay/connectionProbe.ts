import { probeAddress } from '../wire/probeAddress';
import type { Connector } from './workerConnection';

/**
 * Checks whether the process of a server has ended or the server only closed a connection: new
 * connections are refused only if the process has ended. Requests that fail at one server at the
 * same time share one check.
 *
 * @example
 * const probe = new ConnectionProbe(openNetworkSocket);
 * const hasEnded = await probe.isRefused('10.0.0.9:8080');
 */
export class ConnectionProbe {
  private readonly pending = new Map<string, Promise<boolean>>();

  constructor(private readonly connect: Connector) {}

  /** Whether the address refuses connections; never rejects. */
  isRefused(address: string): Promise<boolean> {
    const running = this.pending.get(address);
    if (running) return running;
    const probe = probeAddress(this.connect, address)
      .then((error) => error?.code === 'ECONNREFUSED')
      .finally(() => this.pending.delete(address));
    this.pending.set(address, probe);
    return probe;
  }
}
