import { setTimeout as pause } from 'node:timers/promises';
import type { LogEntry, LogMessage } from '../protocol/generated/beechlift';
import { BeechliftError } from '../errors/beechliftError';
import { handleLogEvent, holdsLeaderLease, isRoundConfirmed } from '../core/log/replicatedLog';
import { findTerm, makeLogState, REPLICAS_COMMAND_PREFIX } from '../core/log/logState';
import type { ReplicaStart } from '../core/log/logState';
import type {
  LogEffect, LogEvent, LogRole, LogState, LogTimings, ReplicaSet, Snapshot, StoredLog,
} from '../core/log/logTypes';
import type { LogStore } from '../disk/logStore';
import type { Clock } from '../utils/clock';
import type { Operation } from '../utils/operation';

/** Callbacks of the runner. */
export interface LogListener<Result> {
  readonly applyCommand: (command: string) => Result | undefined;
  readonly restoreSnapshot: (snapshot: Snapshot) => void;
  readonly takeSnapshot: () => string;
  readonly sendMessage: (message: LogMessage) => void;
  readonly handleRoleChange: (role: LogRole, term: number) => void;
  /** Called when the disk fails and can no longer be trusted: the process must end. */
  readonly failStorage: (error: unknown) => void;
}

interface PendingProposal<Result> {
  readonly term: number;
  readonly resolve: (result: Result | undefined) => void;
  readonly reject: (error: Error) => void;
}

type EffectOf<Kind extends LogEffect['kind']> = Extract<LogEffect, { kind: Kind }>;

type EffectHandler = (effect: LogEffect) => void;

type HandledKind = Exclude<LogEffect['kind'], 'persist' | 'persistSnapshot'>;

/** Poll interval in milliseconds; acknowledgements of a round arrive within a few milliseconds. */
const CONFIRM_POLL_MS = 2;
/** Number of applied entries after which the log is compacted. */
const COMPACT_ENTRIES = 512;
/**
 * Size of the entries at which the log is compacted, in multiples of the last snapshot, and at
 * least in bytes. A replica that joins gets no more than that beside the snapshot.
 */
const COMPACT_FACTOR = 4;
const MIN_COMPACT_BYTES = 262_144;

const isOfKind = <Kind extends LogEffect['kind']>(kind: Kind) => (
  (effect: LogEffect): effect is EffectOf<Kind> => effect.kind === kind
);

const listLastEntry = (effect: LogEffect | undefined): readonly LogEntry[] => (
  effect && 'entries' in effect ? effect.entries.slice(-1) : []);

/**
 * Runs the replicated log of one replica, whose core has no side effects: passes it events,
 * persists and syncs its writes, and only then runs its other effects.
 *
 * @example
 * const runner = new LogRunner('c1', stored, store, listener, systemClock);
 * const result = await runner.propose(command, operation);
 */
export class LogRunner<Result> {
  readonly state: LogState;

  /**
   * Last index that the state machine has applied. The applied index of the log core is ahead of
   * it, as apply effects wait for a sync; a read or a snapshot at that index would miss commands.
   */
  appliedIndex: number;

  private queue: LogEffect[] = [];

  private isDraining = false;

  private isStopped = false;

  private readonly proposals = new Map<number, PendingProposal<Result>>();

  private lastProposed: EffectOf<'proposed'> | undefined;

  constructor(
    id: string,
    stored: StoredLog,
    private readonly store: LogStore,
    private readonly listener: LogListener<Result>,
    private readonly clock: Clock,
    start?: ReplicaStart,
    timings?: LogTimings,
  ) {
    this.state = makeLogState(id, stored, Math.random, clock.now(), start, timings);
    this.appliedIndex = stored.snapshot.index;
  }

  /**
   * Whether this replica holds the leader lease and may answer for the whole site. Its state
   * machine has then applied an entry of its own term, and all that earlier leaders acknowledged.
   */
  get holdsLease(): boolean {
    return !this.isStopped
      && holdsLeaderLease(this.state, this.clock.now())
      && findTerm(this.state, this.appliedIndex) === this.state.term;
  }

  /** Handles one event of the log. */
  handle(event: LogEvent): void {
    if (this.isStopped) return;
    const effects = handleLogEvent(this.state, event, this.clock.now());
    this.lastProposed = effects.find(isOfKind('proposed'));
    this.queue.push(...effects);
    this.drain().catch((error: unknown) => this.fail(error));
  }

  /** Appends a command; resolves with its result once it is committed and applied here. */
  propose(command: string, operation: Operation): Promise<Result | undefined> {
    this.handle({ kind: 'propose', command });
    const proposed = this.lastProposed;
    if (!proposed) {
      return Promise.reject(new BeechliftError('noQuorum', `replica "${this.state.id}" does not lead`));
    }
    return new Promise((resolve, reject) => {
      this.proposals.set(proposed.index, { term: proposed.term, resolve, reject });
      const giveUp = () => {
        this.proposals.delete(proposed.index);
        reject(new BeechliftError('noQuorum', 'no majority of replicas answered before the deadline', { steps: operation.steps }));
      };
      const timer = setTimeout(giveUp, operation.remainingMs);
      timer.unref();
    });
  }

  /**
   * Confirms that this replica leads, by a round that a majority acknowledges; resolves with false
   * if that fails before the deadline. Unlike the lease, it does not depend on clocks.
   */
  async confirmLeadership(operation: Operation): Promise<boolean> {
    this.handle({ kind: 'confirm' });
    const { term, round, role } = this.state;
    if (role !== 'leader') return false;
    const poll = async (): Promise<boolean> => {
      if (this.isStopped || this.state.role !== 'leader') return false;
      if (isRoundConfirmed(this.state, term, round)) return true;
      if (operation.remainingMs === 0) return false;
      await pause(CONFIRM_POLL_MS);
      return poll();
    };
    return poll();
  }

  /** Starts a change of the replica set; returns false if another change is in progress. */
  changeReplicas(replicas: ReplicaSet): boolean {
    this.handle({ kind: 'changeReplicas', replicas });
    return this.lastProposed !== undefined;
  }

  /** Stops the log; nothing is written after that. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.rejectProposals('the replica is stopping');
    await this.store.close();
  }

  private async drain(): Promise<void> {
    if (this.isDraining) return;
    this.isDraining = true;
    try {
      await this.drainBatches();
    } finally {
      this.isDraining = false;
    }
    // Effects that were queued after the last batch would otherwise wait for the next tick.
    if (this.queue.length > 0 && !this.isStopped) await this.drain();
  }

  private async drainBatches(): Promise<void> {
    const batch = this.queue;
    if (batch.length === 0 || this.isStopped) return;
    this.queue = [];
    await this.persist(batch);
    batch.forEach((effect) => this.runEffect(effect));
    this.compact();
    await this.drainBatches();
  }

  /*
   * All writes of a batch are synced, in one sync, before any message of the batch is sent.
   * Otherwise a crash could lose a vote or an entry that was already acknowledged.
   */
  private async persist(batch: readonly LogEffect[]): Promise<void> {
    const position = batch.findLastIndex(isOfKind('persistSnapshot'));
    const writes = batch.slice(position + 1).filter(isOfKind('persist'));
    const snapshot = batch[position];
    // Read before the write, as the log keeps appending to the entries of its snapshot.
    const last = [snapshot, ...writes].flatMap(listLastEntry).at(-1);
    if (snapshot?.kind === 'persistSnapshot') {
      await this.store.replace(snapshot.snapshot, snapshot.hardState, snapshot.entries);
    }
    if (writes.length > 0) await this.store.append(writes);
    this.reportSynced(last);
  }

  private reportSynced(entry: LogEntry | undefined): void {
    if (entry) this.handle({ kind: 'synced', index: entry.index, term: entry.term });
  }

  private runEffect(effect: LogEffect): void {
    const handler = this.effectHandlers[effect.kind as HandledKind] as EffectHandler | undefined;
    handler?.(effect);
  }

  private readonly effectHandlers: { [Kind in HandledKind]: (effect: EffectOf<Kind>) => void } = {
    send: ({ message }) => this.listener.sendMessage(message),
    apply: ({ entry }) => this.apply(entry),
    restore: ({ snapshot }) => {
      this.appliedIndex = snapshot.index;
      this.listener.restoreSnapshot(snapshot);
    },
    roleChanged: ({ role, term }) => this.handleRoleChange(role, term),
    proposed: () => undefined,
  };

  private apply(entry: LogEntry): void {
    const isSiteCommand = entry.command !== '' && !entry.command.startsWith(REPLICAS_COMMAND_PREFIX);
    const result = isSiteCommand ? this.listener.applyCommand(entry.command) : undefined;
    this.appliedIndex = entry.index;
    const proposal = this.proposals.get(entry.index);
    if (!proposal) return;
    this.proposals.delete(entry.index);
    if (proposal.term === entry.term) proposal.resolve(result);
    else proposal.reject(new BeechliftError('noQuorum', 'a new leader replaced this command in the log'));
  }

  private handleRoleChange(role: LogRole, term: number): void {
    if (role !== 'leader') this.rejectProposals('this replica no longer leads');
    this.listener.handleRoleChange(role, term);
  }

  private rejectProposals(reason: string): void {
    const proposals = [...this.proposals.values()];
    this.proposals.clear();
    proposals.forEach(({ reject }) => reject(new BeechliftError('noQuorum', reason)));
  }

  private compact(): void {
    const applied = this.appliedIndex - this.state.snapshot.index;
    const snapshotBytes = this.state.snapshot.data.length;
    const maxBytes = (1 + COMPACT_FACTOR) * snapshotBytes + MIN_COMPACT_BYTES;
    if (applied < COMPACT_ENTRIES && this.store.size < maxBytes) return;
    if (applied <= 0) return;
    this.handle({
      kind: 'snapshotTaken', index: this.appliedIndex, data: this.listener.takeSnapshot(),
    });
  }

  private fail(error: unknown): void {
    this.isStopped = true;
    this.rejectProposals('the disk failed');
    this.listener.failStorage(error);
  }
}
