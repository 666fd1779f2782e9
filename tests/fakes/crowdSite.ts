import { readdirSync, readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { waitFor } from './controlSite';
import { PlatformSite } from './platformSite';

const REPLICAS = [1, 2, 3];
const ENTRY = 4;
const ANNOUNCE_MS = 500;
const HOST = '127.0.0.1';
/** Largest body that the routing document of the site allows, in bytes. */
export const MAX_BODY_BYTES = 1_048_576;
/** Size of an answer of the server, in bytes, for requests below this path. */
const BULK_PATH = '/bulk';
const BULK_BYTES = 1_048_576;
const KILOBYTE = 1_024;

const document = {
  version: 1,
  routes: [{
    name: 'r', host: 'shop.example', path_prefix: '/', route_kind: 'idempotent', timeout_ms: 8_000, target_latency_ms: 800, priority: 0, service: 's', max_attempts: 2, public: true,
  }],
  services: [{ name: 's', max_connections: 200 }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: MAX_BODY_BYTES,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

/** Name of a process of the site. */
export type CrowdedProcess = 'entry-4' | 'control-1';

/** What the platform grants to each machine of the site. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly maxFiles: number;
}

/** Three replicas, an entry and one plain server, on machines with little memory. */
export class CrowdSite {
  private readonly server: Server;

  private announceTimer: NodeJS.Timeout | undefined;

  private sequence = 0;

  private constructor(private readonly site: PlatformSite) {
    this.server = createServer((message, response) => {
      message.resume().on('end', () => {
        const isBulk = message.url?.startsWith(BULK_PATH) ?? false;
        const id = message.headers['attempt-id'] ?? '';
        response.writeHead(200, { 'attempt-id': id, 'server-stamp': 's' });
        response.end(isBulk ? Buffer.alloc(BULK_BYTES) : 'served');
      });
    });
  }

  /** Starts all processes; resolves once the entry serves requests. */
  static async open(limits: MachineLimits): Promise<CrowdSite> {
    const site = await PlatformSite.open({ settings: limits });
    const crowdSite = new CrowdSite(site);
    REPLICAS.forEach((machine) => site.startControl(machine, true));
    site.startEntry(ENTRY);
    await crowdSite.startServer();
    await site.publish(document);
    await crowdSite.waitServed();
    return crowdSite;
  }

  /** Address of the entry for callers. */
  get callerAddress(): string {
    return this.site.getCallerAddress(ENTRY);
  }

  /** Address at which the entry names the entries of the site. */
  get directoryAddress(): string {
    return this.site.getDirectoryAddress(ENTRY);
  }

  /** Address at which a replica serves operators and backend servers. */
  get operatorAddress(): string {
    return this.site.getOperatorAddress(1);
  }

  /** Whether a process still runs. */
  isRunning(name: CrowdedProcess): boolean {
    return this.site.isRunning(name);
  }

  /** Reads the highest resident memory that a process has had, in megabytes. */
  readPeakMb(name: CrowdedProcess): number {
    const status = readFileSync(`/proc/${this.site.getProcessId(name)}/status`, 'utf8');
    return Number(/^VmHWM:\s+([0-9]+) kB$/m.exec(status)?.[1]) / KILOBYTE;
  }

  /** Counts the open descriptors of a process. */
  countFiles(name: CrowdedProcess): number {
    return readdirSync(`/proc/${this.site.getProcessId(name)}/fd`).length;
  }

  /** Resolves once an ordinary request is served; rejects if none is. */
  async waitServed(): Promise<void> {
    const isServed = async (): Promise<boolean> => {
      const { statusCode, body } = await request(`http://${this.callerAddress}/orders`, {
        method: 'POST', headers: { host: 'shop.example', 'attempt-id': 'a1' }, body: 'order',
      });
      return await body.text() === 'served' && statusCode === 200;
    };
    await waitFor(() => isServed().catch(() => false), 'an ordinary request is served');
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    clearInterval(this.announceTimer);
    this.server.closeAllConnections();
    this.server.close();
    await this.site.close();
  }

  private async startServer(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, HOST, resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    const announce = (): void => {
      this.sequence += 1;
      this.site.announce(WorkerAnnouncement.fromPartial({
        workerId: 'i-1', service: 's', address: `${HOST}:${port}`, zone: 'a', slots: 20, state: 'ready', sequence: this.sequence, software: 'v1',
      })).catch(() => undefined); // Announced again soon.
    };
    announce();
    this.announceTimer = setInterval(announce, ANNOUNCE_MS);
  }
}
