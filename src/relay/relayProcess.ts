import { randomUUID } from 'node:crypto';
import type { FastifyInstance } from 'fastify';
import { BodyReader } from '../bodies/bodyReader';
import { applyConnectionLimit } from '../bodies/applyConnectionLimit';
import { computeBodyBytes, computeMaxConnections } from '../bodies/machineLimits';
import type { MachineLimits } from '../bodies/machineLimits';
import { makeMechanisms } from '../core/routing/mechanisms';
import type { Mechanism } from '../core/routing/mechanisms';
import type { RetryBounds } from '../core/routing/serviceRetryBudget';
import type { RoutingReader } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import { SuspensionDetector, systemClock } from '../utils/clock';
import { OpenRequests } from './openRequests';
import { PlaceClient } from './placeClient';
import { ReachMonitor } from './reachMonitor';
import { RelayMetrics } from './relayMetrics';
import { applyCallerLimits, makeRelayServer } from './relayServer';
import { RelayShutdown } from './relayShutdown';
import { RelaySite } from './relaySite';
import type { RequestDialect } from './requestDialect';
import { SiteWatch } from './siteWatch';
import { openNetworkSocket } from './workerConnection';
import type { Connector } from './workerConnection';
import { WorkerConnections } from './workerConnections';
import { WorkerPicker } from './workerPicker';

/** Settings of an entry of a routed site. */
export interface RelaySettings {
  readonly zone: string;
  /** IP address and port that callers connect to. */
  readonly callerAddress: string;
  /** Returns the gRPC addresses of the control replicas in the settings. */
  readonly readSeeds: () => readonly string[];
  readonly retryBounds: RetryBounds;
  /** How long callers may cache the addresses of entries, in milliseconds. */
  readonly locateMs: number;
  /** How long a shutdown may take, in milliseconds. */
  readonly graceMs: number;
  readonly machine: MachineLimits;
  /** Mechanisms that are off, for experiments; deployments leave all on. */
  readonly mechanismsOff?: readonly Mechanism[];
}

/** Dependencies and settings of an entry of a routed site. */
export interface RelayParts {
  readonly settings: RelaySettings;
  readonly readRouting: RoutingReader;
  readonly dialect: RequestDialect;
  readonly logger: Logger;
  /** Opens sockets to backend servers; defaults to the network. */
  readonly connect?: Connector | undefined;
}

/** A running entry of a routed site. */
export interface RunningRelay {
  readonly site: RelaySite;
  readonly app: FastifyInstance;
  readonly metrics: RelayMetrics;
  /** Shuts down; requests are completed as far as the grace period allows. */
  readonly shutDown: () => Promise<void>;
}

/** Interval at which limits are applied and idle connections to removed servers are closed. */
const REFRESH_INTERVAL_MS = 500;

const refreshConnections = (
  site: RelaySite,
  app: FastifyInstance,
  connections: WorkerConnections,
): void => {
  const limits = site.table?.routing.limits;
  if (limits) applyCallerLimits(app, limits);
  const addresses = [...site.workers.byId.values()]
    .filter(({ standing }) => standing !== 'gone')
    .map(({ address }) => address);
  connections.closeExcept(new Set(addresses));
};

/**
 * Starts an entry of a routed site. The port is not open yet: the caller of this function opens it.
 *
 * @example
 * const relay = startRelay({ settings, readRouting, dialect, logger });
 * await listenOn(relay.app, settings.callerAddress);
 */
export const startRelay = ({
  settings, readRouting, dialect, logger, connect = openNetworkSocket,
}: RelayParts): RunningRelay => {
  const suspension = new SuspensionDetector();
  const metrics = new RelayMetrics();
  const site = new RelaySite({
    entryId: randomUUID(),
    callerAddress: settings.callerAddress,
    zone: settings.zone,
    readRouting,
    clock: systemClock,
    suspension,
    logger,
    retryBounds: settings.retryBounds,
    mechanisms: makeMechanisms(settings.mechanismsOff),
  });
  const watch = new SiteWatch({
    site, readSeeds: settings.readSeeds, clock: systemClock, suspension, logger,
  });
  const placeClient = new PlaceClient({
    entryId: site.entryId,
    findLeader: () => watch.findLeader(),
    findHub: () => watch.findHub(),
    changeHub: () => watch.changeHub(),
    countEntries: () => site.entryCount,
    handleSilence: (since) => site.accounts.recordSilence(since),
    handleHub: (address) => site.recordDelegate(address),
    clock: systemClock,
    logger,
  });
  const reportState = (): void => {
    watch.sendState().catch((error: unknown) => logger.warn('state could not be reported', { reason: String(error) }));
  };
  const reachMonitor = new ReachMonitor({
    site, connect, clock: systemClock, logger, reportChange: reportState,
  });
  const connections = new WorkerConnections(reachMonitor.connect);
  const picker = new WorkerPicker({
    site,
    placeClient,
    connections,
    requestTable: () => watch.requestTable(),
    clock: systemClock,
  });
  const openRequests = new OpenRequests(metrics);
  const app = makeRelayServer({
    site,
    dialect,
    connections,
    picker,
    placeClient,
    clock: systemClock,
    logger,
    metrics,
    openRequests,
    bodies: new BodyReader(computeBodyBytes(settings.machine)),
    reportState,
    reportSilence: (address) => reachMonitor.recordSilence(address),
  });
  applyConnectionLimit(app.server, computeMaxConnections(settings.machine, 'callers'));
  watch.start();
  const refreshTimer = setInterval(() => {
    refreshConnections(site, app, connections);
    placeClient.reportStreams();
  }, REFRESH_INTERVAL_MS);
  const shutdown = new RelayShutdown({
    site,
    server: app.server,
    openRequests,
    announceLeaving: () => watch.sendState(),
    locateMs: settings.locateMs,
    graceMs: settings.graceMs,
    clock: systemClock,
    logger,
  });
  const close = async (): Promise<void> => {
    const startedAt = systemClock.now();
    await shutdown.run();
    clearInterval(refreshTimer);
    reachMonitor.stop();
    placeClient.close();
    watch.stop();
    connections.close();
    await app.close();
    logger.info('entry shut down', { tookMs: Math.round(systemClock.now() - startedAt) });
  };
  let closing: Promise<void> | undefined;
  return {
    site,
    app,
    metrics,
    shutDown: () => {
      closing ??= close();
      return closing;
    },
  };
};
