import type { ConnectResult } from '../core/routing/serverReach';
import { isReady } from '../core/routing/routedWorkers';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { probeAddress } from '../wire/probeAddress';
import type { RelaySite } from './relaySite';
import type { Connector } from './workerConnection';

/** Interval of the check whether probes are due while the entry is cut off, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

const classifyResult = (error: NodeJS.ErrnoException | null | undefined): ConnectResult => {
  if (!error) return 'opened';
  return error.code === 'ETIMEDOUT' ? 'timedOut' : 'refused';
};

/** Dependencies of the monitor. */
export interface ReachMonitorParts {
  readonly site: RelaySite;
  /** Opens sockets to backend servers. */
  readonly connect: Connector;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when the entry was cut off from the backend servers, or reaches one again. */
  readonly reportChange: () => void;
}

/**
 * Watches which connections to backend servers open, and finds out whether this entry is cut off
 * from all of them. Then callers are sent to other entries.
 *
 * @example
 * const connections = new WorkerConnections(monitor.connect);
 */
export class ReachMonitor {
  /** Set while the entry is cut off. */
  private probeTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ReachMonitorParts) {}

  /** Opens a socket and records the result. */
  readonly connect: Connector = (options, callback) => {
    this.parts.connect(options, (...result) => {
      const [error] = result;
      this.parts.site.reach.recordConnect(`${options.hostname}:${options.port}`, classifyResult(error), this.parts.clock.now());
      callback(...result);
      if (error) this.probe();
    });
  };

  /**
   * Records that a server does not answer a request: where connections hang, those that are open
   * fall silent before a new one is needed.
   */
  recordSilence(address: string): void {
    const { site, clock } = this.parts;
    site.reach.recordConnect(address, 'timedOut', clock.now());
    this.probe();
  }

  /** Ends the probes. */
  stop(): void {
    clearInterval(this.probeTimer);
  }

  private probe(): void {
    const { site, clock } = this.parts;
    if (!site.reach.canProbe(clock.now())) return;
    const ready = [...site.workers.byId.values()].filter(isReady).map(({ address }) => address);
    const shuffled = ready
      .map((address) => ({ address, order: Math.random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ address }) => address);
    const addresses = site.reach.takeProbes(shuffled, clock.now());
    if (addresses.length === 0) return;
    Promise.all(addresses.map((address) => probeAddress(this.parts.connect, address)))
      .then((errors) => this.handleResults(addresses, errors.map(classifyResult)))
      .catch((error: unknown) => this.parts.logger.error('probing backend servers failed', { reason: String(error) }));
  }

  private handleResults(addresses: readonly string[], results: readonly ConnectResult[]): void {
    const { site: { reach }, clock, logger } = this.parts;
    if (!reach.recordProbes(results, clock.now())) return;
    const { isCutOff } = reach;
    this.stop();
    if (isCutOff) this.probeTimer = setInterval(() => this.probe(), CHECK_INTERVAL_MS);
    logger.warn(isCutOff ? 'this entry reaches no backend server' : 'this entry reaches backend servers again', {
      probed: addresses.join(', '), results: results.join(', '),
    });
    this.parts.reportChange();
  }
}
