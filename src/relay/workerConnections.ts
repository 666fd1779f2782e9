import { ConnectionProbe } from './connectionProbe';
import { WorkerConnection } from './workerConnection';

/**
 * Connections to backend servers. Each carries one request at a time, and is given up after
 * whatever was not a whole answer in order, so that no byte of one answer is taken for another.
 *
 * @example
 * const connection = connections.take('10.0.0.9:8080');
 * connections.give(connection);
 */
export class WorkerConnections {
  private readonly idle = new Map<string, WorkerConnection[]>();

  private readonly probe = new ConnectionProbe();

  /** A connection that is free, the one used last first, or a new one. */
  acquire(address: string): WorkerConnection {
    const free = this.idle.get(address) ?? [];
    const position = free.findLastIndex(({ isEnded }) => !isEnded);
    const [connection] = position < 0 ? [] : free.splice(position);
    return connection ?? new WorkerConnection(address, (ended) => this.remove(ended));
  }

  /** Takes a connection back after a whole answer. */
  release(connection: WorkerConnection): void {
    if (connection.isEnded) return;
    const free = this.idle.get(connection.address) ?? [];
    free.push(connection);
    this.idle.set(connection.address, free);
  }

  /** Closes idle connections to all addresses but these. */
  closeExcept(addresses: ReadonlySet<string>): void {
    [...this.idle.keys()]
      .filter((address) => !addresses.has(address))
      .forEach((address) => {
        this.idle.get(address)?.forEach((connection) => connection.end());
        this.idle.delete(address);
      });
  }

  /** Whether a server that broke a connection off has ended; a silent network says no. */
  hasEnded(address: string): Promise<boolean> {
    return this.probe.isRefused(address);
  }

  /** Closes all. */
  close(): void {
    this.closeExcept(new Set());
  }

  /** A connection that closed while idle is opened anew only when it is needed. */
  private remove(connection: WorkerConnection): void {
    const free = this.idle.get(connection.address) ?? [];
    const position = free.indexOf(connection);
    if (position < 0) return;
    free.splice(position, 1);
    connection.end();
  }
}
