import { BirthRecord } from '../../src/control/birthRecord';
import { LogRunner } from '../../src/control/logRunner';
import { ReplicaKeeper } from '../../src/control/replicaKeeper';
import { makeEmptyLog } from '../../src/core/log/logState';
import type { StoredLog } from '../../src/core/log/logTypes';
import { LogStore } from '../../src/disk/logStore';
import type { LogMessage, Replica } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import type { Clock } from '../../src/utils/clock';
import { PowerLossFiles } from '../fakes/powerLossFiles';
import type { WriteFate } from '../fakes/powerLossFiles';

/** One process of a replica. */
export interface Life {
  readonly self: Replica;
  readonly runner: LogRunner<true>;
  readonly keeper: ReplicaKeeper;
  version: number;
  leadingSince: number;
}

/** What a machine needs of its site. */
export interface MachineSite {
  readonly clock: Clock;
  readonly voterCount: number;
  readonly send: (message: LogMessage) => void;
  /** Hears what could not start, or whose disk failed. */
  readonly noteFailure: (failure: string) => void;
}

const FOLDER = 'data';
const logger = makeLogger('model', 'silent');

/** A machine with a disk, and the process of a replica that runs there. */
export class ModelMachine {
  files = new PowerLossFiles();

  life: Life | undefined;

  /** Birth of the disk; empty while it is not known. */
  birth = '';

  isFrozen = false;

  private isUp = false;

  /** Counts the processes; what one that is gone still wanted is dropped. */
  private starts = 0;

  constructor(readonly address: string, private readonly site: MachineSite) {}

  /** Gives the disk its birth, without a wait for syncs. */
  async prepareDisk(): Promise<BirthRecord> {
    this.files.isFast = true;
    const record = new BirthRecord(this.files, FOLDER);
    await record.open();
    this.birth = record.id;
    return record;
  }

  start(): void {
    if (this.isUp) return;
    this.isUp = true;
    this.startLife(this.starts).catch((error: unknown) => {
      this.site.noteFailure(`${this.address} does not start: ${(error as Error).message}`);
    });
  }

  kill(): void {
    this.files.kill();
    this.life = undefined;
    this.isUp = false;
    this.isFrozen = false;
    this.starts += 1;
  }

  cutPower(drawFate: () => WriteFate): void {
    this.kill();
    this.files.cutPower(drawFate);
  }

  /** Another disk, which is empty. */
  replaceDisk(): void {
    this.kill();
    this.birth = '';
    this.files = new PowerLossFiles();
  }

  compact(): void {
    if (!this.life) return;
    const { runner, version } = this.life;
    runner.handle({ kind: 'snapshotTaken', index: runner.appliedIndex, data: String(version) });
  }

  /** Whether it has got a version, in force or on its way. */
  holds(version: number): boolean {
    if (!this.life) return false;
    const text = `"version":${version},`;
    return this.life.version >= version
      || this.life.runner.state.entries.some(({ command }) => command.includes(text));
  }

  private async startLife(start: number): Promise<void> {
    const { files, address } = this;
    const record = new BirthRecord(files, FOLDER);
    await record.open();
    if (!record.founders) await record.foundSite([]);
    const store = new LogStore(files, FOLDER);
    const voters = record.founders ?? [];
    const stored = await store.load(makeEmptyLog({ voters, learners: [], leaving: [] }));
    if (this.starts !== start) return;
    const self = { id: record.id, address, zone: '' };
    this.birth = record.id;
    this.life = this.makeLife(self, start, store, stored);
  }

  private makeLife(self: Replica, start: number, store: LogStore, stored: StoredLog): Life {
    const {
      clock, voterCount, send, noteFailure,
    } = this.site;
    const life: Life = {
      self,
      keeper: new ReplicaKeeper(voterCount, clock, logger),
      version: Number(stored.snapshot.data),
      leadingSince: 0,
      runner: new LogRunner<true>(self.id, stored, store, {
        applyCommand: (command) => {
          const { version } = JSON.parse(command) as { version: number };
          life.version = Math.max(life.version, version);
          return true;
        },
        restoreSnapshot: ({ data }) => {
          life.version = Number(data);
        },
        takeSnapshot: () => String(life.version),
        sendMessage: (message) => {
          if (this.starts === start) send(message);
        },
        noteRole: (role) => {
          if (role === 'leader') life.leadingSince = clock.now();
        },
        failStorage: (error) => noteFailure(`${self.address}: ${String(error)}`),
      }, clock, { startedAt: clock.now() }),
    };
    return life;
  }
}
