import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { ReplicaIdentity } from '../../src/control/replicaIdentity';
import { startRoutedControl } from '../../src/control/routedControl';
import type { RunningRoutedControl } from '../../src/control/routedControl';
import { nodeFileSystem } from '../../src/disk/fileSystem';
import { checkRouting } from '../../src/manifest/checkRouting';
import { parseVersion } from '../../src/manifest/documentVersion';
import type { StoredVersion } from '../../src/manifest/documentVersion';
import type { RoutingReader, Routing } from '../../src/manifest/routing';
import type { Replica } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { findFreeAddress } from './freeAddress';
import { makeRouting } from './routings';

/** Decodes routing documents of the test format, which is JSON. */
export const readRouting: RoutingReader = (document) => {
  try {
    const { version, ...rest } = JSON.parse(document) as Routing & { version: StoredVersion };
    const routing = { ...rest, version: parseVersion(version) };
    const faults = checkRouting(routing);
    return faults.length > 0 ? { routing: undefined, faults } : { routing, faults: [] };
  } catch (error) {
    return { routing: undefined, faults: [(error as Error).message] };
  }
};

/** Waits until a condition holds; throws after 15 s. */
export const waitFor = async (
  isDone: () => boolean | Promise<boolean>,
  description: string,
): Promise<void> => {
  const deadline = performance.now() + 15_000;
  const poll = async (): Promise<void> => {
    if (await isDone()) return;
    if (performance.now() > deadline) throw new Error(`timed out after 15 s waiting for: ${description}`);
    await pause(20);
    await poll();
  };
  await poll();
};

/** Formats a routing document of the test format. */
export const formatDocument = (version: number, changes: Partial<Routing> = {}): string => (
  JSON.stringify({ ...makeRouting(changes), version }));

/** Control replicas of one site: real servers on loopback, each with its own data folder. */
export class ControlSite {
  readonly running = new Map<number, RunningRoutedControl>();

  private readonly folders = new Map<number, string>();

  private constructor(private readonly addresses: readonly string[]) {}

  static async open(count: number): Promise<ControlSite> {
    const addresses = await Promise.all(Array.from({ length: count }, findFreeAddress));
    return new ControlSite(addresses);
  }

  /** Leaves the disk as a first start does that ends before the founders are known. */
  async storeIdentity(position: number): Promise<void> {
    const identity = new ReplicaIdentity(nodeFileSystem, await this.makeFolder(position));
    await identity.open(this.listSeeds());
    await identity.close();
  }

  /** Leaves the disk as a replica does that ends right after it has decided to join. */
  async storeJoiner(position: number): Promise<Replica> {
    const identity = new ReplicaIdentity(nodeFileSystem, await this.makeFolder(position));
    await identity.open();
    await identity.saveFounders([]);
    await identity.close();
    return { id: identity.id, address: this.getAddress(position), zone: 'a' };
  }

  async start(position: number, isFirstStart: boolean): Promise<void> {
    const folder = await this.makeFolder(position);
    this.running.set(position, await startRoutedControl({
      settings: {
        zone: 'a',
        address: this.getAddress(position),
        readSeeds: () => this.listSeeds(),
        isFirstStart,
        dataFolder: folder,
        bounds: { revokeMs: 5_000, applyMs: 5_000 },
        voterCount: 3,
        limitSlack: 1_000,
      },
      readRouting,
      logger: makeLogger(`control/${position}`, (process.env.BEECHLIFT_LOGS ? 'info' : 'silent')),
      failStorage: () => undefined,
    }));
  }

  async stop(position: number): Promise<void> {
    await this.running.get(position)?.stop();
    this.running.delete(position);
  }

  /** Stops all replicas, and then starts all of them again with their disks. */
  async restartAll(): Promise<void> {
    const positions = [...this.running.keys()];
    await Promise.all(positions.map((position) => this.stop(position)));
    await Promise.all(positions.map((position) => this.start(position, false)));
    await this.waitForLeader();
  }

  /** Restarts all replicas; only one still has the given file, and it starts after the others. */
  async restartWithOneCopy(name: string, delayMs = 0): Promise<void> {
    const [remaining = 0, ...others] = [...this.running.keys()];
    await Promise.all([remaining, ...others].map((position) => this.stop(position)));
    await Promise.all(others.map((position) => this.removeFile(position, name)));
    await Promise.all(others.map((position) => this.start(position, false)));
    await pause(delayMs);
    await Promise.all([this.waitForLeader(), this.start(remaining, false)]);
  }

  /** Whether the file contains the text at every replica. */
  async hasTextInAllFiles(name: string, text: string): Promise<boolean> {
    const contents = await Promise.all([...this.folders.values()].map((folder) => (
      readFile(join(folder, name), 'utf8').catch(() => ''))));
    return contents.every((content) => content.includes(text));
  }

  /** Removes a file of a stopped replica. */
  async removeFile(position: number, name: string): Promise<void> {
    await rm(join(this.folders.get(position) ?? '', name));
  }

  async eraseDisk(position: number): Promise<void> {
    await this.stop(position);
    await rm(this.folders.get(position) ?? '', { recursive: true, force: true });
    this.folders.delete(position);
  }

  findNode(position: number) {
    const running = this.running.get(position);
    if (!running) throw new Error(`replica ${position} is not running`);
    return running.node;
  }

  findLeader(): number | undefined {
    return [...this.running].find(([, { node }]) => node.isLeading)?.[0];
  }

  async waitForLeader(): Promise<number> {
    await waitFor(() => this.findLeader() !== undefined, 'a leader');
    return this.findLeader() ?? -1;
  }

  async close(): Promise<void> {
    await Promise.all([...this.running.keys()].map((position) => this.stop(position)));
    await Promise.all([...this.folders.values()].map((folder) => (
      rm(folder, { recursive: true, force: true }))));
  }

  getAddress(position: number): string {
    return this.addresses[position] ?? '';
  }

  private listSeeds(): string[] {
    return [0, 1, 2].map((seed) => this.getAddress(seed));
  }

  private async makeFolder(position: number): Promise<string> {
    const folder = this.folders.get(position) ?? await mkdtemp(join(tmpdir(), 'routed-'));
    this.folders.set(position, folder);
    return folder;
  }
}
