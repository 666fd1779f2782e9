import { ConnectionProbe } from './connectionProbe';
import { isServerRunning } from '../wire/isServerRunning';
import { openNetworkSocket, WorkerConnection } from './workerConnection';
import type { Connector } from './workerConnection';

/**
 * Pool of connections to backend servers. Each connection carries one request at a time and is
 * reused only after a complete answer, so that bytes of one answer cannot become part of another.
 *
 * @example
 * const connection = connections.acquire('10.0.0.9:8080');
 * connections.release(connection);
 */
export class WorkerConnections {
  private readonly idle = new Map<string, WorkerConnection[]>();

  private readonly probe: ConnectionProbe;

  constructor(private readonly connect: Connector = openNetworkSocket) {
    this.probe = new ConnectionProbe(connect);
  }

  /** Returns the most recently used idle connection, or a new one. */
  acquire(address: string): WorkerConnection {
    const free = this.idle.get(address) ?? [];
    const position = free.findLastIndex(({ isEnded }) => !isEnded);
    const [connection] = position < 0 ? [] : free.splice(position);
    return connection ?? new WorkerConnection(
      address,
      (ended) => this.remove(ended),
      this.connect,
    );
  }

  /** Whether an idle connection to a server is open. */
  hasIdle(address: string): boolean {
    return this.idle.get(address)?.some(({ isEnded }) => !isEnded) ?? false;
  }

  /** Returns a connection to the pool after a complete answer. */
  release(connection: WorkerConnection): void {
    if (connection.isEnded) return;
    const free = this.idle.get(connection.address) ?? [];
    free.push(connection);
    this.idle.set(connection.address, free);
  }

  /** Closes idle connections to all other addresses. */
  closeExcept(addresses: ReadonlySet<string>): void {
    [...this.idle.keys()]
      .filter((address) => !addresses.has(address))
      .forEach((address) => {
        this.idle.get(address)?.forEach((connection) => connection.end());
        this.idle.delete(address);
      });
  }

  /** Whether the process of a server has ended; false if that is unknown. */
  hasEnded(address: string): Promise<boolean> {
    return this.probe.isRefused(address);
  }

  /** Whether a server accepts a connection from now on, or resets it because it has too many. */
  isRunning(address: string): Promise<boolean> {
    return isServerRunning(this.connect, address);
  }

  /** Closes all idle connections. */
  close(): void {
    this.closeExcept(new Set());
  }

  /** Removes a connection that closed while idle. */
  private remove(connection: WorkerConnection): void {
    const free = this.idle.get(connection.address) ?? [];
    const position = free.indexOf(connection);
    if (position < 0) return;
    free.splice(position, 1);
    connection.end();
  }
}
