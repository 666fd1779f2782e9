import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { request } from 'undici';
import type { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { waitFor } from './controlSite';
import { findFreeAddress } from './freeAddress';

const PROGRAM = resolve('target/beechlift.cjs');
const REPLICAS = [1, 2, 3];
/** Time after its acknowledgement in which all entries must apply a change, in milliseconds. */
export const APPLY_MS = 2_500;

/** Grace of an entry, unless a test names another. */
const GRACE_SECONDS = 5;

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

/** What tests may change. */
export interface PlatformSiteParts {
  /** Further settings of all processes. */
  readonly settings?: object;
  readonly graceSeconds?: number;
  /** Receives each line that a process writes; without it, their standard output is dropped. */
  readonly recordLine?: (name: string, line: string) => void;
  /** Receives the end of each process. */
  readonly recordEnd?: (name: string, end: ProcessEnd) => void;
}

const parsePort = (address: string): string => address.slice(address.lastIndexOf(':') + 1);

/**
 * A site of three control replicas and two entries, started like on the platform. Each machine has
 * an IP address of its own.
 */
export class PlatformSite {
  readonly entryPort: string;

  readonly operatorPort: string;

  readonly readinessPort: string;

  private readonly folder = mkdtempSync(join(tmpdir(), 'platform-'));

  private readonly processes = new Map<string, ChildProcess>();

  private constructor(
    private readonly ports: readonly string[],
    private readonly parts: PlatformSiteParts,
  ) {
    const [entryPort = '', operatorPort = '', , readinessPort = ''] = ports;
    this.entryPort = entryPort;
    this.operatorPort = operatorPort;
    this.readinessPort = readinessPort;
  }

  static async open(parts: PlatformSiteParts = {}): Promise<PlatformSite> {
    const addresses = await Promise.all(Array.from({ length: 5 }, findFreeAddress));
    return new PlatformSite(addresses.map(parsePort), parts);
  }

  startControl(machine: number, isFirstStart: boolean): void {
    const ip = `127.0.0.${machine}`;
    this.startProcess(`control-${machine}`, 'control', {
      ...this.buildCommon(ip),
      operatorAddress: `${ip}:${this.operatorPort}`,
      dataFolder: join(this.folder, `data-${machine}`),
      isFirstStart,
      replicaLosses: 1,
      revokeMs: 5_000,
      applyMs: APPLY_MS,
      limitSlack: 1_000,
    });
  }

  /** Removes the disk of a control replica that was ended. */
  removeDisk(machine: number): void {
    rmSync(join(this.folder, `data-${machine}`), { recursive: true, force: true });
  }

  startEntry(machine: number): void {
    const ip = `127.0.0.${machine}`;
    this.startProcess(`entry-${machine}`, 'relay', {
      ...this.buildCommon(ip),
      callerAddress: `${ip}:${this.entryPort}`,
      readinessAddress: `${ip}:${this.readinessPort}`,
      graceSeconds: this.parts.graceSeconds ?? GRACE_SECONDS,
      retryRatio: 0.2,
      retrySlack: 50,
      retryWindowSeconds: 10,
    });
  }

  /** Address at which an entry serves callers. */
  getCallerAddress(machine: number): string {
    return `127.0.0.${machine}:${this.entryPort}`;
  }

  /** Ends a process and resolves with its exit code. */
  endProcess(name: string, signal: 'SIGTERM' | 'SIGKILL'): Promise<number | null> {
    const child = this.processes.get(name);
    const hasEnded = child !== undefined && !this.isRunning(name);
    this.processes.delete(name);
    if (hasEnded) return Promise.resolve(child.exitCode);
    return new Promise((done) => {
      child?.once('exit', (code) => done(code));
      child?.kill(signal);
    });
  }

  /** Address at which an entry or a replica names the entries to callers. */
  getDirectoryAddress(machine: number): string {
    return `127.0.0.${machine}:${this.ports[2]}`;
  }

  /** Address of a replica for operators and backend servers. */
  getOperatorAddress(machine: number): string {
    return `127.0.0.${machine}:${this.operatorPort}`;
  }

  /** Process id; 0 if it does not run. */
  getProcessId(name: string): number {
    return this.processes.get(name)?.pid ?? 0;
  }

  /** Whether a process was started and has not ended. */
  isRunning(name: string): boolean {
    const child = this.processes.get(name);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /** Sends a signal to a process, if it runs. */
  sendSignal(name: string, signal: 'SIGTERM' | 'SIGHUP' | 'SIGKILL'): void {
    this.processes.get(name)?.kill(signal);
  }

  /** Suspends processes. */
  freeze(names: readonly string[]): void {
    names.forEach((name) => this.processes.get(name)?.kill('SIGSTOP'));
  }

  /** Resumes suspended processes. */
  resume(names: readonly string[]): void {
    names.forEach((name) => this.processes.get(name)?.kill('SIGCONT'));
  }

  /** Returns the machine of the leading control replica, or 0 if there is none. */
  async findLeader(): Promise<number> {
    const texts = await Promise.all(REPLICAS.map(async (machine) => (
      request(`http://127.0.0.${machine}:${this.operatorPort}/metrics`)
        .then(({ body }) => body.text())
        // A replica that is down leads nothing.
        .catch(() => ''))));
    return 1 + texts.findIndex((text) => /^beechlift_control_leads 1$/m.test(text));
  }

  async queryDirectory(machine: number): Promise<string[]> {
    const { body } = await request(`http://127.0.0.${machine}:${this.ports[2]}/v1/resolution?name=a.example&zone=a`);
    return (await body.json() as { addresses?: string[] }).addresses ?? [];
  }

  async isReady(machine: number): Promise<boolean> {
    const { statusCode, body } = await request(`http://127.0.0.${machine}:${this.readinessPort}/v1/readyz`);
    await body.dump();
    return statusCode === 200;
  }

  async post(machine: number, path: string, body: object | string | Buffer): Promise<number> {
    const text = typeof body === 'string' || Buffer.isBuffer(body) ? body : JSON.stringify(body);
    const answer = await request(`http://127.0.0.${machine}:${this.operatorPort}${path}`, {
      method: 'POST', body: text, headers: { 'content-type': 'application/json' },
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  /** Reads the text of the document in force at a replica. */
  async readDocument(machine: number): Promise<string> {
    const { body } = await request(`http://127.0.0.${machine}:${this.operatorPort}/v1/Configuration.Read`);
    return body.text();
  }

  /** Publishes a document; resolves once a replica has accepted it. */
  async publish(document: object | string): Promise<void> {
    const isAccepted = async (): Promise<boolean> => await this.post(1, '/v1/Configuration.Replace', document) === 200;
    await waitFor(() => isAccepted().catch(() => false), 'the document is accepted');
  }

  /** Sends the announcement of a server to all replicas; resolves once one has answered. */
  announce({ workerId, software: version, ...fields }: WorkerAnnouncement): Promise<number> {
    return Promise.any(REPLICAS.map((machine) => this.post(machine, `/v1/Instances.Heartbeat/${workerId}`, { ...fields, version })));
  }

  async close(): Promise<void> {
    await Promise.all([...this.processes.keys()].map((name) => this.endProcess(name, 'SIGKILL')));
    rmSync(this.folder, { recursive: true, force: true });
  }

  private buildCommon(ip: string): object {
    return {
      name: ip,
      zone: 'a',
      ip,
      seeds: REPLICAS.map((machine) => `127.0.0.${machine}:${this.operatorPort}`).join(','),
      internalPorts: `${this.ports[4]},${this.ports[4]}`,
      directoryAddress: `${ip}:${this.ports[2]}`,
      logLevel: 'info',
      ...this.parts.settings,
    };
  }

  private startProcess(name: string, role: string, settings: object): void {
    const file = join(this.folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    const { recordLine, recordEnd } = this.parts;
    const output = recordLine ? 'pipe' : 'ignore';
    const child = spawn(process.execPath, [PROGRAM, role], {
      env: { ...process.env, BEECHLIFT_SETTINGS: file }, stdio: ['ignore', output, recordLine ? 'pipe' : 'inherit'],
    });
    [child.stdout, child.stderr].filter((stream) => stream !== null).forEach((input) => {
      createInterface({ input }).on('line', (line) => recordLine?.(name, line));
    });
    // Its lines have all been read when it is closed.
    child.once('close', (code, signal) => {
      if (this.processes.get(name) === child) this.processes.delete(name);
      recordEnd?.(name, { code, signal });
    });
    this.processes.set(name, child);
  }
}
