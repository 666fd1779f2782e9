import { handleLogEvent, holdsLeaderLease } from '../../src/core/log/replicatedLog';
import { makeEmptyLog, makeLogState, REPLICAS_COMMAND_PREFIX } from '../../src/core/log/logState';
import type {
  LogEffect, LogEvent, LogState, ReplicaSet, StoredLog,
} from '../../src/core/log/logTypes';
import type { LogEntry, LogMessage, Replica } from '../../src/protocol/generated/beechlift';

/** One random step of the model. */
export type ModelStep = | { readonly kind: 'advance'; readonly ms: number }
  | { readonly kind: 'flush'; readonly node: number }
  | { readonly kind: 'deliver' | 'lose' | 'double'; readonly pick: number }
  | { readonly kind: 'propose' | 'crash' | 'compact' | 'cut' | 'join' | 'rush' | 'swap'; readonly node: number }
  | { readonly kind: 'round'; readonly ms: number };

interface ModelNode {
  state: LogState;
  disk: StoredLog;
  queue: LogEffect[];
  applied: string[];
}

const storeWrite = (disk: StoredLog, effect: LogEffect): StoredLog => {
  if (effect.kind === 'persistSnapshot') {
    const { snapshot, hardState, entries } = effect;
    return { snapshot, hardState, entries };
  }
  if (effect.kind !== 'persist') return disk;
  const [first] = effect.entries;
  const kept = first ? disk.entries.filter(({ index }) => index < first.index) : disk.entries;
  return { ...disk, hardState: effect.hardState, entries: [...kept, ...effect.entries] };
};

/** Simulates replicas, a network and disks under the given steps, and checks the invariants. */
export class LogModel {
  now = 0;

  readonly nodes: ModelNode[];

  readonly network: LogMessage[] = [];

  /** Command applied at each index, as recorded by the first replica that applied it. */
  readonly history = new Map<number, string>();

  readonly leaders = new Map<number, string>();

  /** Replicas that are disconnected from the network. */
  private readonly disconnected = new Set<string>();

  /** Number of committed changes of the voters. */
  changes = 0;

  private proposals = 0;

  constructor(size: number, private readonly drawRandom: () => number, standbys = 0) {
    const all: Replica[] = Array.from({ length: size + standbys }, (unused, position) => ({
      id: `c${position}`, address: '', zone: '',
    }));
    const replicas: ReplicaSet = {
      voters: all.slice(0, size), learners: all.slice(size), leaving: [],
    };
    this.nodes = all.map(({ id }) => this.makeNode(id, makeEmptyLog(replicas)));
  }

  /** Runs one step and checks the invariants across all replicas. */
  run(step: ModelStep): void {
    const runners: Record<ModelStep['kind'], () => void> = {
      advance: () => this.advance((step as { ms: number }).ms),
      flush: () => this.flush(this.pickNode(step)),
      deliver: () => this.deliver(this.takeMessage(step, true)),
      lose: () => {
        this.takeMessage(step, true);
      },
      double: () => this.deliver(this.takeMessage(step, false)),
      propose: () => this.propose(this.pickNode(step)),
      crash: () => this.crash(this.pickNode(step)),
      compact: () => this.compact(this.pickNode(step)),
      cut: () => {
        this.disconnected.add(this.pickNode(step).state.id);
      },
      join: () => {
        this.disconnected.delete(this.pickNode(step).state.id);
      },
      rush: () => this.startElection(this.pickNode(step)),
      swap: () => this.replaceVoter(this.pickNode(step)),
      round: () => this.runRound((step as { ms: number }).ms),
    };
    runners[step.kind]();
    this.checkLeases();
  }

  /** Runs without faults for some rounds; returns whether all replicas applied recent proposals. */
  restoreAll(rounds: number): boolean {
    this.disconnected.clear();
    Array.from({ length: rounds }).forEach((unused, round) => {
      this.runRound(50);
      if (round % 20 === 0) this.nodes.forEach((node) => this.propose(node));
    });
    const last = Math.max(0, ...this.history.keys());
    return last > 0 && this.nodes.every(({ state }) => state.appliedIndex >= last - 40);
  }

  /** Advances the time, syncs all disks and delivers all messages that can arrive. */
  private runRound(ms: number): void {
    this.advance(ms);
    this.nodes.forEach((node) => this.flush(node));
    this.network.splice(0).forEach((message) => this.deliver(message));
    this.nodes.forEach((node) => this.flush(node));
    this.checkLeases();
  }

  /** Makes the election of one replica due immediately, as after a long pause. */
  private startElection(node: ModelNode): void {
    node.state.electionAt = this.now;
    this.handle(node, { kind: 'tick' });
    this.flush(node);
  }

  private makeNode(id: string, disk: StoredLog): ModelNode {
    return {
      state: makeLogState(id, disk, this.drawRandom, this.now), disk, queue: [], applied: [],
    };
  }

  private pickNode(step: ModelStep): ModelNode {
    return this.nodes[(step as { node: number }).node % this.nodes.length] as ModelNode;
  }

  private takeMessage(step: ModelStep, remove: boolean): LogMessage | undefined {
    const position = (step as { pick: number }).pick % Math.max(1, this.network.length);
    return remove ? this.network.splice(position, 1)[0] : this.network[position];
  }

  private handle(node: ModelNode, event: LogEvent): void {
    node.queue.push(...handleLogEvent(node.state, event, this.now));
  }

  private advance(ms: number): void {
    this.now += ms;
    this.nodes.forEach((node) => this.handle(node, { kind: 'tick' }));
  }

  private deliver(message: LogMessage | undefined): void {
    const node = this.nodes.find(({ state }) => state.id === message?.to);
    const isDisconnected = message
      && (this.disconnected.has(message.from) || this.disconnected.has(message.to));
    if (node && message && !isDisconnected) this.handle(node, { kind: 'message', message });
  }

  private propose(node: ModelNode): void {
    this.proposals += 1;
    this.handle(node, { kind: 'propose', command: `p${this.proposals}` });
  }

  /** Replaces a voter by a learner, which takes its place, or completes the change before. */
  private replaceVoter(node: ModelNode): void {
    const { replicas } = node.state;
    const { voters, learners, previousVoters = [] } = replicas;
    const position = Math.floor(this.drawRandom() * voters.length);
    const [learner, ...others] = learners;
    const removed = voters[position];
    if (previousVoters.length > 0) {
      this.handle(node, { kind: 'changeReplicas', replicas: { ...replicas, previousVoters: [] } });
    } else if (learner && removed) {
      const next = {
        ...replicas,
        voters: voters.with(position, learner),
        learners: [...others, removed],
        previousVoters: voters,
      };
      this.handle(node, { kind: 'changeReplicas', replicas: next });
    }
  }

  /** Discards the effects that were not flushed, including unsent messages. */
  private crash(node: ModelNode): void {
    node.queue = [];
    node.state = makeLogState(node.state.id, node.disk, this.drawRandom, this.now);
  }

  private compact(node: ModelNode): void {
    const { state } = node;
    if (node.queue.length > 0) return;
    this.handle(node, { kind: 'snapshotTaken', index: state.appliedIndex, data: `${state.appliedIndex}` });
  }

  /** Handles a batch like the log runner: all writes, one sync, then the other effects in order. */
  private flush(node: ModelNode): void {
    const batch = node.queue;
    node.queue = [];
    node.disk = batch.reduce(storeWrite, node.disk);
    const written = batch.flatMap(
      (effect) => (effect.kind === 'persist' ? effect.entries.slice(-1) : []),
    );
    const last = written.at(-1);
    if (last) this.handle(node, { kind: 'synced', index: last.index, term: last.term });
    batch.forEach((effect) => this.perform(node, effect));
  }

  private perform(node: ModelNode, effect: LogEffect): void {
    if (effect.kind === 'send') this.network.push(effect.message);
    if (effect.kind === 'apply') this.recordApplied(effect.entry);
    if (effect.kind === 'roleChanged' && effect.role === 'leader') {
      const other = this.leaders.get(effect.term) ?? node.state.id;
      if (other !== node.state.id) throw new Error(`two leaders in term ${effect.term}`);
      this.leaders.set(effect.term, node.state.id);
    }
  }

  private recordApplied({ index, term, command }: LogEntry): void {
    const text = `${term} ${command}`;
    const known = this.history.get(index) ?? text;
    if (!this.history.has(index) && command.startsWith(REPLICAS_COMMAND_PREFIX)) this.changes += 1;
    if (known !== text) throw new Error(`index ${index} was applied as "${known}" and then as "${text}"`);
    this.history.set(index, text);
  }

  private checkLeases(): void {
    const holders = this.nodes.filter(({ state }) => holdsLeaderLease(state, this.now));
    if (holders.length > 1) throw new Error('two replicas hold the leader lease');
  }
}
