import { createHash } from 'node:crypto';
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import {
  existsSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { OperatorClient } from '../../src/cli/operatorClient';
import type { StatusReply, SubmitReply } from '../../src/protocol/generated/beechlift';
import { FakeEngine } from './fakeEngine';
import type { FakeEngineOptions } from './fakeEngine';
import { findFreeAddress } from './freeAddress';

export const OPERATOR_KEY = 'site-operator';
export const API_KEY = 'site-kiosk';
export const BINARY = resolve('dist/beechlift.cjs');

const WAIT_MS = 25_000;
const POLL_MS = 25;

export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Waits until a condition holds; throws after `WAIT_MS`. Errors of `isTrue` count as false. */
export const waitUntil = async (
  description: string,
  isTrue: () => Promise<boolean> | boolean,
): Promise<void> => {
  const deadline = performance.now() + WAIT_MS;
  const poll = async (): Promise<void> => {
    if (await Promise.resolve().then(isTrue).catch(() => false)) return;
    if (performance.now() > deadline) throw new Error(`timed out after ${WAIT_MS} ms waiting for: ${description}`);
    await pause(POLL_MS);
    await poll();
  };
  await poll();
};

/** Makes a manifest for the site; `sections` replaces sections. */
export const makeManifest = (version: number, sections: object = {}): object => ({
  version,
  operators: { pipeline: { keyHash: hashKey(OPERATOR_KEY) } },
  tiers: {
    door: {
      rank: 0, firstTokenMs: 2_000, totalMs: 30_000, headroom: 0.2,
    },
    history: { rank: 1, firstTokenMs: 10_000, totalMs: 60_000 },
  },
  accounts: {
    kiosks: { keyHashes: [hashKey(API_KEY)], tiers: ['door', 'history'], concurrency: 500 },
  },
  models: { guide: {} },
  pools: { engines: { kind: 'model', models: ['guide'] } },
  limits: { locateMs: 300 },
  ...sections,
});

/** A process of an entry or of a control replica. */
export interface SiteProcess {
  readonly id: string;
  readonly settingsFile: string;
  readonly kind: 'entry' | 'control';
  /** Address for callers of an entry, or for other processes of a control replica. */
  readonly address: string;
  child: ChildProcess;
}

export interface AnswerBody {
  readonly choices?: readonly { readonly text: string }[];
  readonly error?: {
    readonly name: string;
    readonly run: string;
    readonly code: number;
    readonly retryAfterMs?: number;
  };
}

export interface Answer {
  readonly status: number;
  readonly text: string;
  readonly body: AnswerBody;
}

/** Real entry and control processes on loopback, and fake engines in the test process. */
export class TestSite {
  readonly folder = mkdtempSync(join(tmpdir(), 'beechlift-test-'));

  readonly controls: SiteProcess[] = [];

  readonly entries: SiteProcess[] = [];

  readonly engines: FakeEngine[] = [];

  /** Program and arguments of an entry; benches replace it by one with another policy. */
  entryProgram: readonly string[] = [BINARY, 'entry'];

  private replicas: { id: string; address: string; zone: string }[] = [];

  constructor() {
    if (!existsSync(BINARY)) throw new Error('the bundle dist/beechlift.cjs does not exist: run "npm run bundle" first');
  }

  get controlAddresses(): string[] {
    return this.controls.map(({ address }) => address);
  }

  get operator(): OperatorClient {
    return new OperatorClient(this.controlAddresses, OPERATOR_KEY);
  }

  /** Starts processes, and waits until the first manifest is in force on all entries. */
  async start(controls: number, entries: number, manifest = makeManifest(1)): Promise<void> {
    const positions = Array.from({ length: controls }, (unused, position) => position);
    this.replicas = await Promise.all(positions.map(async (position) => ({
      id: `c${position + 1}`, address: await findFreeAddress(), zone: `az-${position + 1}`,
    })));
    await Promise.all(this.replicas.map((replica) => this.addControl(replica)));
    await Promise.all(
      Array.from(
        { length: entries },
        (unused, position) => this.addEntry(`e${position + 1}`, `az-${(position % 3) + 1}`),
      ),
    );
    await this.submit(manifest);
    await this.waitForVersion((manifest as { version: number }).version);
  }

  async addControl(
    replica: { id: string; address: string; zone: string },
    joining = false,
  ): Promise<SiteProcess> {
    const control = this.spawn('control', replica.id, replica.address, {
      ...replica,
      adminAddress: await findFreeAddress(),
      replicas: this.replicas,
      dataFolder: join(this.folder, `data-${replica.id}`),
      firstOperatorKeyHash: hashKey(OPERATOR_KEY),
      joining,
    });
    this.controls.push(control);
    return control;
  }

  async addEntry(
    id: string,
    zone: string,
    control: readonly object[] = this.replicas,
  ): Promise<SiteProcess> {
    const callerAddress = await findFreeAddress();
    const entry = this.spawn('entry', id, callerAddress, {
      id,
      zone,
      callerAddress,
      peerAddress: await findFreeAddress(),
      control,
      heartbeatMs: 200,
    });
    this.entries.push(entry);
    return entry;
  }

  /** Starts an engine, and waits until the owner of its pool lists it. */
  async addEngine(id: string, options: Partial<FakeEngineOptions> = {}): Promise<FakeEngine> {
    const engine = new FakeEngine({
      id,
      pool: 'engines',
      hardware: 'fast',
      models: ['guide'],
      entries: this.entries.map(({ address }) => address),
      announceMs: 200,
      loadLagMs: 500,
      recordFile: '',
      prefillMs: 0.02,
      decodeMs: 5,
      slots: 8,
      cacheSize: 64,
      ...options,
    });
    this.engines.push(engine);
    await engine.start();
    await waitUntil(`the owner of the pool lists engine ${id}`, async () => (await this.listWorkers()).includes(id));
    return engine;
  }

  /** Finds the entry that owns a pool. */
  async findOwner(): Promise<SiteProcess> {
    const owns = await Promise.all(this.entries.map(async (entry) => (
      (await this.readStatus(entry)).owned.length > 0)));
    return this.entries[owns.indexOf(true)] as SiteProcess;
  }

  async listWorkers(): Promise<string[]> {
    const all = await Promise.all(
      this.entries.map((entry) => this.readStatus(entry).catch(() => undefined)),
    );
    return all.flatMap(
      (status) => status?.owned.flatMap(({ workers }) => workers.map(({ id }) => id)) ?? [],
    );
  }

  async readStatus(entry: SiteProcess): Promise<{
    isServing: boolean;
    manifestVersion: number;
    viewNumber: number;
    open: number;
    owned: {
      pool: string;
      running: number;
      waiting: number;
      workers: { id: string; running: number; leaving: boolean }[];
    }[];
  }> {
    const response = await request(`http://${entry.address}/v1/status`, { headersTimeout: 1_000 });
    return await response.body.json() as never;
  }

  submit(manifest: object): Promise<SubmitReply> {
    return this.operator.submit(JSON.stringify(manifest), 20_000);
  }

  readControl(): Promise<StatusReply> {
    return this.operator.readStatus(5_000);
  }

  waitForVersion(version: number, entries = this.entries): Promise<void> {
    return waitUntil(`version ${version} is in force on all entries`, async () => {
      const all = await Promise.all(entries.map((entry) => this.readStatus(entry)));
      return all.every((status) => status.isServing && status.manifestVersion === version);
    });
  }

  /** Sends a completion request to an entry. */
  async send(entry: SiteProcess, prompt: string, options: {
    tokens?: number;
    key?: string;
    tier?: string;
    apiKey?: string;
    headers?: Record<string, string>;
    stream?: boolean;
  } = {}): Promise<Answer> {
    const response = await request(`http://${entry.address}/v1/completions`, {
      method: 'POST',
      headersTimeout: 60_000,
      bodyTimeout: 60_000,
      headers: {
        authorization: `Bearer ${options.apiKey ?? API_KEY}`,
        'content-type': 'application/json',
        ...(options.key ? { 'idempotency-key': options.key } : {}),
        ...(options.tier ? { 'beechlift-tier': options.tier } : {}),
        ...options.headers,
      },
      body: JSON.stringify({
        model: 'guide', prompt, max_tokens: options.tokens ?? 8, stream: options.stream ?? false,
      }),
    });
    const raw = await response.body.text();
    const body = raw.startsWith('{') ? JSON.parse(raw) as AnswerBody : {};
    return { status: response.statusCode, text: body.choices?.[0]?.text ?? raw, body };
  }

  kill(siteProcess: SiteProcess, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    return new Promise((done) => {
      if (siteProcess.child.exitCode !== null || siteProcess.child.signalCode !== null) {
        done();
        return;
      }
      siteProcess.child.once('exit', () => done());
      siteProcess.child.kill(signal);
    });
  }

  /** Freezes a process, like a paused VM, or resumes it. */
  freeze(siteProcess: SiteProcess, isFrozen: boolean): void {
    siteProcess.child.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Starts an ended process again, with the same settings. */
  restart(siteProcess: SiteProcess): void {
    siteProcess.child = this.run(siteProcess.kind, siteProcess.settingsFile);
  }

  async stop(): Promise<void> {
    this.engines.forEach((engine) => engine.crash());
    await Promise.all([...this.entries, ...this.controls]
      .map((siteProcess) => this.kill(siteProcess)));
    rmSync(this.folder, { recursive: true, force: true });
  }

  private spawn(
    kind: 'entry' | 'control',
    id: string,
    address: string,
    settings: object,
  ): SiteProcess {
    const settingsFile = join(this.folder, `${id}.json`);
    writeFileSync(settingsFile, JSON.stringify(settings));
    return {
      id, kind, settingsFile, address, child: this.run(kind, settingsFile),
    };
  }

  private run(kind: 'entry' | 'control', settingsFile: string): ChildProcess {
    const program = kind === 'entry' ? this.entryProgram : [BINARY, kind];
    const child = spawn(
      process.execPath,
      [...program, settingsFile],
      { stdio: ['ignore', 'pipe', 'pipe'] },
    );
    child.stderr.resume();
    child.stdout.on('data', (data: Buffer) => {
      if (process.env.BEECHLIFT_LOGS) process.stderr.write(data);
    });
    return child;
  }
}
