import type { Socket } from 'node:net';
import type { Routing } from '../../src/manifest/routing';
import { WatchReply } from '../../src/protocol/generated/beechlift';
import { findHeader } from '../../src/wire/rawHeaders';
import { startRelay } from '../../src/relay/relayProcess';
import type { RunningRelay } from '../../src/relay/relayProcess';
import type { RequestTokens, RequestDialect } from '../../src/relay/requestDialect';
import type { RawHeaders } from '../../src/wire/rawHeaders';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector, systemClock } from '../../src/utils/clock';
import { readRouting, waitFor } from './controlSite';
import { findFreeAddress } from './freeAddress';
import { HoldingLeader } from './holdingLeader';
import { PacedServer } from './pacedServer';
import { RawCaller } from './rawCaller';
import { testDialect } from './relayRig';
import { makeRouting } from './routings';

/** Time after the signal in which an entry serves callers as before, in milliseconds. */
export const LOCATE_MS = 300;
/** Maximum duration of a shutdown, in milliseconds. */
export const GRACE_MS = 1_200;
const LEASE_MS = 60_000;
const SLOTS = 100;
const SERVICE = 'rooms';
/** Header with the number of events of a stream. */
export const TOKENS_HEADER = 'x-tokens';
const PROMPT_TOKENS = 10;

const readTokens = (headers: RawHeaders): RequestTokens | undefined => {
  const tokenCount = findHeader(headers, TOKENS_HEADER);
  return tokenCount === undefined
    ? undefined
    : { prompt: PROMPT_TOKENS, output: Number(tokenCount), expected: Number(tokenCount) };
};

const dialect: RequestDialect = {
  ...testDialect,
  readRequest: (headers) => ({ ...testDialect.readRequest(headers), tokens: readTokens(headers) }),
};

/** Options of a stopping site. */
export interface StoppingSiteOptions {
  readonly routing?: Partial<Routing>;
  readonly entries?: number;
  /** Number of backend servers of each service. */
  readonly servers?: number;
  readonly services?: readonly string[];
  /** Whether entries have a lease from the start; defaults to true. */
  readonly hasLease?: boolean;
  /** Whether a leader holds all slot requests; without it there is no leader. */
  readonly holdsSlotRequests?: boolean;
  /** Maximum duration of a shutdown, in milliseconds; defaults to `GRACE_MS`. */
  readonly graceMs?: number;
}

/** Entries in front of paced servers. Each entry can be shut down as if by a signal. */
export class StoppingSite {
  readonly servers: PacedServer[] = [];

  readonly relays: RunningRelay[] = [];

  private readonly addresses: string[] = [];

  private readonly sockets: Set<Socket>[] = [];

  private readonly callers: RawCaller[] = [];

  private readonly leader: HoldingLeader | undefined;

  private version = 1;

  private constructor(private options: StoppingSiteOptions) {
    if (options.holdsSlotRequests) {
      this.leader = new HoldingLeader((address) => this.makeReply(address));
    }
  }

  static async start(options: StoppingSiteOptions = {}): Promise<StoppingSite> {
    const site = new StoppingSite(options);
    const { entries = 1, servers = 1, services = [SERVICE] } = options;
    const count = servers * services.length;
    site.servers.push(...Array.from({ length: count }, () => new PacedServer()));
    await Promise.all(site.servers.map((server) => server.listen()));
    await site.leader?.listen();
    await Promise.all(Array.from({ length: entries }, () => site.addEntry()));
    return site;
  }

  /** Ids of the requests that the servers started to run. */
  get runs(): string[] {
    return this.servers.flatMap(({ runs }) => runs);
  }

  /** Counts how often the servers started to run a request. */
  countRuns(id: string): number {
    return this.runs.filter((run) => run === id).length;
  }

  /** Opens a connection of a caller to an entry. */
  async open(entry = 0): Promise<RawCaller> {
    const caller = await RawCaller.open(this.addresses[entry] ?? '');
    this.callers.push(caller);
    return caller;
  }

  /** Counts the bytes buffered in an entry's connections to callers. */
  countWaitingBytes(entry = 0): number {
    return [...this.sockets[entry] ?? []]
      .reduce((sum, { writableLength }) => sum + writableLength, 0);
  }

  /** Applies a changed routing document. */
  replaceRouting(routing: Partial<Routing>): void {
    this.version += 1;
    this.options = { ...this.options, routing };
    this.relays.forEach((relay) => this.grantLease(relay));
  }

  /** Shuts an entry down, and then closes its remaining connections and its port. */
  async stop(entry = 0): Promise<void> {
    await this.relays[entry]?.shutDown();
    this.sockets[entry]?.forEach((socket) => socket.destroy());
    this.relays[entry]?.app.server.close();
  }

  /** Stops all processes and connections that are still open. */
  async close(): Promise<void> {
    this.callers.forEach((caller) => caller.close());
    this.servers.forEach((server) => server.close());
    this.sockets.flatMap((all) => [...all]).forEach((socket) => socket.destroy());
    await Promise.all(this.relays
      .filter(({ site }) => !site.isLeaving)
      .map((relay) => relay.shutDown()));
    this.leader?.close();
  }

  /** Grants an entry a lease on the current document. */
  grantLease({ site }: RunningRelay): void {
    site.applyReply(this.makeReply(''), systemClock.now(), new SuspensionDetector().readEpoch());
  }

  private async addEntry(): Promise<void> {
    const address = await findFreeAddress();
    const relay = startRelay({
      settings: {
        zone: 'a',
        callerAddress: address,
        readSeeds: () => (this.leader ? [this.leader.address] : []),
        retryBounds: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
        locateMs: LOCATE_MS,
        machine: { memoryMb: 256, maxFiles: 4_096 },
        graceMs: this.options.graceMs ?? GRACE_MS,
      },
      readRouting,
      dialect,
      logger: makeLogger('relay', process.env.BEECHLIFT_LOGS ? 'info' : 'silent'),
    });
    const sockets = new Set<Socket>();
    relay.app.server.on('connection', (socket: Socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    const [host = '', port] = address.split(':');
    await relay.app.listen({ host, port: Number(port) });
    if (!this.leader && (this.options.hasLease ?? true)) this.grantLease(relay);
    if (this.leader) await waitFor(() => relay.site.state === 'active', 'the entry is active');
    this.addresses.push(address);
    this.sockets.push(sockets);
    this.relays.push(relay);
  }

  private makeReply(leaderAddress: string): WatchReply {
    const { version, options: { routing, services = [SERVICE] } } = this;
    return WatchReply.fromPartial({
      leaseMs: LEASE_MS,
      leaderAddress,
      controlAddresses: leaderAddress === '' ? [] : [leaderAddress],
      documentDigest: `d${version}`,
      documentVersion: String(version),
      document: JSON.stringify({ ...makeRouting({ ...routing, accounts: [] }), version }),
      workersEpoch: 'e',
      workersRevision: 1,
      entryCount: this.options.entries ?? 1,
      workers: this.servers.map(({ address }, position) => ({
        said: {
          workerId: `w${position}`,
          service: services[position % services.length],
          address,
          zone: 'a',
          slots: SLOTS,
          state: 'ready',
          sequence: 1,
        },
        standing: 'ready',
      })),
    });
  }
}
