import { ReplicaIdentity } from '../../src/control/replicaIdentity';
import { LogRunner } from '../../src/control/logRunner';
import { ReplicaSetManager } from '../../src/control/replicaSetManager';
import { HANDOVER_TIMEOUT_MS, VoteHandover } from '../../src/control/voteHandover';
import { makeEmptyLog } from '../../src/core/log/logState';
import type { StoredLog } from '../../src/core/log/logTypes';
import { LogStore } from '../../src/disk/logStore';
import type { LogMessage, Replica } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import type { Clock } from '../../src/utils/clock';
import { PowerLossFileSystem } from '../fakes/powerLossFileSystem';
import type { UnsyncedWriteState } from '../fakes/powerLossFileSystem';

/** One process of a replica. */
export interface ReplicaProcess {
  readonly self: Replica;
  readonly runner: LogRunner<true>;
  readonly replicaSetManager: ReplicaSetManager;
  readonly voteHandover: VoteHandover;
  version: number;
  leadingSince: number;
}

/** Dependencies of a machine. */
export interface MachineSite {
  readonly clock: Clock;
  readonly voterCount: number;
  readonly send: (message: LogMessage) => void;
  /** Called when a machine cannot start, or its disk fails. */
  readonly recordFailure: (failure: string) => void;
}

const FOLDER = 'data';
const logger = makeLogger('model', 'silent');

/** A machine with a disk, and the replica process that runs on it. */
export class ModelMachine {
  files = new PowerLossFileSystem();

  replica: ReplicaProcess | undefined;

  /** Replica id that the disk holds; empty while it is not known. */
  replicaId = '';

  isFrozen = false;

  private isUp = false;

  private isRemoved = false;

  /** When the process ends at the latest, once it was told to stop. */
  private stopsAt = Infinity;

  /** Counts the processes, to drop messages and starts of a process that was killed. */
  private starts = 0;

  constructor(readonly address: string, private readonly site: MachineSite) {}

  /** Creates the identity on the disk, without waiting for syncs. */
  async prepareDisk(): Promise<ReplicaIdentity> {
    this.files.isSyncImmediate = true;
    const identity = new ReplicaIdentity(this.files, FOLDER);
    await identity.open();
    this.replicaId = identity.id;
    return identity;
  }

  start(): void {
    if (this.isUp || this.isRemoved) return;
    this.isUp = true;
    this.startProcess(this.starts).catch((error: unknown) => {
      this.site.recordFailure(`${this.address} does not start: ${(error as Error).message}`);
    });
  }

  kill(): void {
    this.files.kill();
    this.replica = undefined;
    this.isUp = false;
    this.isFrozen = false;
    this.stopsAt = Infinity;
    this.starts += 1;
  }

  get isRunning(): boolean {
    return this.isUp;
  }

  /** Tells the process to stop; its machine may start it again. */
  stop(): void {
    if (!this.replica) return;
    this.replica.voteHandover.start();
    this.stopsAt = Math.min(this.stopsAt, this.site.clock.now() + HANDOVER_TIMEOUT_MS);
  }

  /** Continues or ends a stop. */
  tickStop(): void {
    if (!this.replica || this.stopsAt === Infinity) return;
    this.replica.voteHandover.tick();
    const isDue = this.site.clock.now() >= this.stopsAt;
    if (isDue || this.replica.voteHandover.isDone) this.kill();
  }

  /** Ends the process for good. */
  remove(): void {
    this.kill();
    this.isRemoved = true;
  }

  cutPower(drawFate: () => UnsyncedWriteState): void {
    this.kill();
    this.files.cutPower(drawFate);
  }

  /** Replaces the disk by an empty one. */
  replaceDisk(): void {
    this.kill();
    this.replicaId = '';
    this.files = new PowerLossFileSystem();
  }

  compact(): void {
    if (!this.replica) return;
    const { runner, version } = this.replica;
    runner.handle({ kind: 'snapshotTaken', index: runner.appliedIndex, data: String(version) });
  }

  /** Whether the replica has a version, applied or in its log. */
  holds(version: number): boolean {
    if (!this.replica) return false;
    const text = `"version":${version},`;
    return this.replica.version >= version
      || this.replica.runner.state.entries.some(({ command }) => command.includes(text));
  }

  private async startProcess(start: number): Promise<void> {
    const { files, address } = this;
    const identity = new ReplicaIdentity(files, FOLDER);
    await identity.open();
    if (!identity.founders) await identity.saveFounders([]);
    const store = new LogStore(files, FOLDER);
    const voters = identity.founders ?? [];
    const stored = await store.load(makeEmptyLog({ voters, learners: [], leaving: [] }));
    if (this.starts !== start) return;
    const self = { id: identity.id, address, zone: '' };
    this.replicaId = identity.id;
    this.replica = this.makeProcess(self, start, store, stored);
  }

  private makeProcess(
    self: Replica,
    start: number,
    store: LogStore,
    stored: StoredLog,
  ): ReplicaProcess {
    const {
      clock, voterCount, send, recordFailure,
    } = this.site;
    const replicaSetManager = new ReplicaSetManager(voterCount, clock, logger);
    const sendOwn = (message: LogMessage) => {
      if (this.starts === start) send(message);
    };
    const progress = { version: Number(stored.snapshot.data), leadingSince: 0 };
    const runner = new LogRunner<true>(self.id, stored, store, {
      applyCommand: (command) => {
        const { version } = JSON.parse(command) as { version: number };
        progress.version = Math.max(progress.version, version);
        return true;
      },
      restoreSnapshot: ({ data }) => {
        progress.version = Number(data);
      },
      takeSnapshot: () => String(progress.version),
      sendMessage: sendOwn,
      handleRoleChange: (role) => {
        if (role === 'leader') progress.leadingSince = clock.now();
      },
      failStorage: (error) => recordFailure(`${self.address}: ${String(error)}`),
    }, clock, { startedAt: clock.now() });
    return Object.assign(progress, {
      self,
      runner,
      replicaSetManager,
      voteHandover: new VoteHandover({
        runner, replicaSetManager, sendMessage: sendOwn, logger,
      }),
    });
  }
}
