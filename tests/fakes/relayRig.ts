import { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { FastifyInstance } from 'fastify';
import { BodyReader } from '../../src/bodies/bodyReader';
import { makeMechanisms } from '../../src/core/routing/mechanisms';
import type { Mechanism } from '../../src/core/routing/mechanisms';
import type { DocumentVersion } from '../../src/manifest/documentVersion';
import type { Routing } from '../../src/manifest/routing';
import { WatchReply, WorkerRecord } from '../../src/protocol/generated/beechlift';
import { dropHeaders, findHeader } from '../../src/wire/rawHeaders';
import { PlaceClient } from '../../src/relay/placeClient';
import { OpenRequests } from '../../src/relay/openRequests';
import { readRateLimit } from '../../src/relay/rateLimit';
import { RelayMetrics } from '../../src/relay/relayMetrics';
import { applyCallerLimits, makeRelayServer } from '../../src/relay/relayServer';
import { RelaySite } from '../../src/relay/relaySite';
import type { RequestDialect } from '../../src/relay/requestDialect';
import type { Connector } from '../../src/relay/workerConnection';
import { WorkerConnections } from '../../src/relay/workerConnections';
import { WorkerPicker } from '../../src/relay/workerPicker';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector, systemClock } from '../../src/utils/clock';
import { ScriptedServer } from './scriptedServer';
import type { ServerScript } from './scriptedServer';

const HOST = '127.0.0.1';
const LEASE_MS = 60_000;

/** A dialect for tests: the relay must not depend on the header names of a platform. */
export const testDialect: RequestDialect = {
  readRequest: (headers) => ({
    requestId: findHeader(headers, 'x-id') ?? '',
    maxWaitMs: Number(findHeader(headers, 'x-patience') ?? 5_000),
    key: findHeader(headers, 'x-key') ?? '',
    lastEventId: findHeader(headers, 'x-last-event') ?? '',
    resumedId: findHeader(headers, 'x-resumes') ?? '',
    tokens: undefined,
    promptParts: (findHeader(headers, 'x-parts') ?? '').split(',').filter((part) => part !== ''),
  }),
  readAnswer: (headers) => ({
    requestId: findHeader(headers, 'x-id') ?? '',
    isNotExecuted: findHeader(headers, 'x-not-run') !== undefined,
    isEncoded: false,
    restMs: Number(findHeader(headers, 'x-rest-ms') ?? 0),
    isLeaving: findHeader(headers, 'x-leaving') !== undefined,
    limitPerSecond: readRateLimit(findHeader(headers, 'x-limit')),
    turnAwayLimit: readRateLimit(findHeader(headers, 'x-brittle')),
  }),
  buildRequestHeaders: (headers, { workerId, remainingMs, lastEventId }) => [
    ...dropHeaders(headers, new Set(['x-key', 'x-patience', 'x-last-event', 'content-length'])),
    'x-worker', workerId, 'x-left', String(remainingMs), 'x-last', lastEventId || (findHeader(headers, 'x-last-event') ?? ''),
  ],
};

/** Connections of an entry that has none open. */
export const NO_CONNECTIONS = { hasIdle: (): boolean => false };

/** An entry with scripted backend servers and without control. */
export class RelayRig {
  readonly metrics = new RelayMetrics();

  readonly openRequests = new OpenRequests(this.metrics);

  readonly site: RelaySite;

  /** Finds no leader, so the entry chooses servers itself unless a test mocks this client. */
  readonly placeClient = new PlaceClient({
    entryId: 'e1',
    findLeader: () => undefined,
    countEntries: () => 1,
    clock: systemClock,
    logger: makeLogger('test', 'silent'),
  });

  private readonly connections: WorkerConnections;

  private app: FastifyInstance | undefined;

  private constructor(
    private routing: Routing,
    private readonly servers: readonly ScriptedServer[],
    off: readonly Mechanism[],
    connect?: Connector,
  ) {
    this.connections = new WorkerConnections(connect);
    this.site = new RelaySite({
      entryId: 'e1',
      callerAddress: '',
      zone: 'a',
      readRouting: () => ({ routing: this.routing, faults: [] }),
      clock: systemClock,
      suspension: new SuspensionDetector(),
      logger: makeLogger('test', 'silent'),
      retryBounds: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
      mechanisms: makeMechanisms(off),
    });
  }

  /**
   * Starts a server for each script, named w0, w1 and so on, and an entry in front of them.
   *
   * @param off mechanisms that the entry does not use
   * @param connect opens the connections to the servers; defaults to the network
   */
  static async start(
    routing: Routing,
    scripts: readonly ServerScript[],
    off: readonly Mechanism[] = [],
    connect?: Connector,
  ): Promise<RelayRig> {
    const servers = scripts.map((script) => new ScriptedServer(script));
    await Promise.all(servers.map((server) => server.listen()));
    const rig = new RelayRig(routing, servers, off, connect);
    await rig.open();
    return rig;
  }

  /** Finds the server at a position. */
  findServer(position: number): ScriptedServer {
    return this.servers[position] as ScriptedServer;
  }

  /** All requests that the servers received. */
  get received(): string[] {
    return this.servers.flatMap(({ requests }) => requests);
  }

  get port(): number {
    return (this.app?.server.address() as AddressInfo).port;
  }

  /** Sends raw bytes, and collects what it receives until the connection ends or is idle. */
  send(bytes: string, idleMs = 150): Promise<string> {
    return new Promise((resolve) => {
      const socket = new Socket();
      const chunks: Buffer[] = [];
      const end = (): void => {
        socket.destroy();
        resolve(Buffer.concat(chunks).toString('latin1'));
      };
      socket.setTimeout(idleMs, end);
      socket.on('data', (chunk) => chunks.push(chunk));
      socket.on('close', end);
      socket.on('error', end);
      socket.connect(this.port, HOST, () => socket.write(bytes));
    });
  }

  async close(): Promise<void> {
    this.connections.close();
    this.servers.forEach((server) => server.close());
    this.app?.server.closeAllConnections();
    await this.app?.close();
  }

  /** Applies a new routing and its caller limits. */
  replaceRouting(routing: Routing): void {
    this.routing = routing;
    this.applyDocument(routing.version);
    if (this.app) applyCallerLimits(this.app, routing.limits);
  }

  /** Sets the standing of all servers; `gone` also closes the connections to them. */
  setStanding(standing: string): void {
    this.applyServers(standing);
    this.connections.closeExcept(new Set(standing === 'gone' ? [] : this.servers.map(({ address }) => address)));
  }

  /** Counts the requests that have no complete answer yet. */
  async countOpenRequests(): Promise<number> {
    return (await this.metrics.open.get()).values[0]?.value ?? 0;
  }

  private applyDocument(version: DocumentVersion): void {
    this.applyReply({ documentDigest: `d${version}`, documentVersion: String(version), document: 'd' });
  }

  private applyServers(standing: string): void {
    this.applyReply({
      documentDigest: `d${this.routing.version}`,
      documentVersion: String(this.routing.version),
      workers: this.servers.map(({ address }, position) => WorkerRecord.fromPartial({
        said: {
          workerId: `w${position}`, service: 'rooms', address, zone: 'a', slots: 6, state: 'ready', sequence: 1,
        },
        standing,
      })),
    });
  }

  private applyReply(changes: Partial<WatchReply>): void {
    this.site.applyReply({
      ...WatchReply.fromPartial({
        leaseMs: LEASE_MS, workersEpoch: 'e', workersRevision: 1, entryCount: 1,
      }),
      ...changes,
    }, systemClock.now(), new SuspensionDetector().readEpoch());
  }

  private async open(): Promise<void> {
    const { site, placeClient, connections } = this;
    this.applyDocument(this.routing.version);
    this.applyServers('ready');
    this.app = makeRelayServer({
      site,
      dialect: testDialect,
      connections,
      picker: new WorkerPicker({
        site, placeClient, connections, clock: systemClock,
      }),
      placeClient,
      clock: systemClock,
      logger: makeLogger('test', 'silent'),
      metrics: this.metrics,
      openRequests: this.openRequests,
      bodies: new BodyReader(67_108_864),
      reportState: () => undefined,
      reportSilence: () => undefined,
    });
    applyCallerLimits(this.app, this.routing.limits);
    await this.app.listen({ host: HOST, port: 0 });
  }
}
