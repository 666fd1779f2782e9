import fc from 'fast-check';
import { SuspectRegistry } from '../../src/control/suspectRegistry';
import { CRASH_GROUP_WINDOW_MS } from '../../src/core/quarantine/crashTable';
import { SuspectList } from '../../src/core/quarantine/suspectList';
import { WatchReply, WatchRequest } from '../../src/protocol/generated/beechlift';
import type { SuspectRecord } from '../../src/protocol/generated/beechlift';
import { CrashRecords } from '../../src/relay/crashRecords';
import { makeLogger } from '../../src/telemetry/logger';
import { HeldCalls } from '../../src/utils/heldCalls';

const REPLICAS = 3;
const ENTRIES = 4;
/** Time without disturbance after which an entry has contact to a stable leader, in ms. */
const REACHABLE_MS = 3_000;
/** Delay of updates between entries and the leader, and until crashes are evaluated, in ms. */
const UPDATE_DELAY_MS = 2 * CRASH_GROUP_WINDOW_MS;
const FATAL = 'fatal';

/** One step of a run. */
export type ModelStep = | { readonly kind: 'send'; readonly entry: number; readonly companions: number }
  | { readonly kind: 'pause'; readonly ms: number }
  | { readonly kind: 'cutOrJoin' | 'restartEntry'; readonly entry: number }
  | { readonly kind: 'loseLeader'; readonly next: number }
  | { readonly kind: 'restartReplicas' };

const drawEntry = fc.nat({ max: ENTRIES - 1 });

/** Steps of a run in which the fatal request is sent repeatedly. */
export const drawSteps: fc.Arbitrary<ModelStep[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('send' as const), entry: drawEntry, companions: fc.nat({ max: 3 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pause' as const), ms: fc.integer({ min: 1, max: 2_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('cutOrJoin' as const, 'restartEntry' as const), entry: drawEntry }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('loseLeader' as const), next: fc.nat({ max: REPLICAS - 1 }) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'restartReplicas' as const }) },
), { minLength: 10, maxLength: 40 });

interface ModelEntry {
  crashRecords: CrashRecords;
  list: SuspectList;
  isCut: boolean;
  /** Epoch of the leader that it last reported to. */
  lastLeader: string;
  undisturbedSince: number;
}

/** Result of a run. */
export interface ModelOutcome {
  /** Sends by reachable entries after the reaction time that follows the third crash. */
  readonly lateSends: number;
  /** Sends by reachable entries while the request was refused. */
  readonly breaches: number;
  /** Honest requests that were refused though fewer than three servers crashed with them. */
  readonly falselyRefused: readonly string[];
}

/** Entries, replicas and one request that crashes servers, with a simulated clock. */
export class SuspectModel {
  private now = 0;

  private replicas: SuspectRegistry[];

  private leader = 0;

  private term = 0;

  private leadsSince = 0;

  private readonly entries: ModelEntry[];

  private readonly crashTimes: number[] = [];

  private readonly crashCounts = new Map<string, number>();

  private lateSends = 0;

  private breaches = 0;

  /** End of the refusal, as first stated by the leader. */
  private refusedUntil = 0;

  private servers = 0;

  constructor() {
    this.replicas = Array.from({ length: REPLICAS }, () => this.makeRegistry([]));
    this.entries = Array.from({ length: ENTRIES }, () => this.makeEntry());
  }

  /** Runs steps; updates are delivered after each. */
  run(steps: readonly ModelStep[]): ModelOutcome {
    steps.forEach((step) => {
      this.perform(step);
      this.now += UPDATE_DELAY_MS;
      this.deliverUpdates();
    });
    const falselyRefused = this.entries.flatMap(({ list }) => [...this.crashCounts]
      .filter(([name, crashes]) => crashes < 3 && (list.find(name, this.now)?.refusedMs ?? 0) > 0)
      .map(([name]) => name));
    return { lateSends: this.lateSends, breaches: this.breaches, falselyRefused };
  }

  private perform(step: ModelStep): void {
    const handlers: { [Kind in ModelStep['kind']]: (item: Extract<ModelStep, { kind: Kind }>) => void } = {
      send: ({ entry, companions }) => this.send(this.entries[entry] as ModelEntry, companions),
      pause: ({ ms }) => {
        this.now += ms;
      },
      cutOrJoin: ({ entry }) => this.cutOrJoin(this.entries[entry] as ModelEntry),
      restartEntry: ({ entry }) => {
        this.entries[entry] = this.makeEntry();
      },
      loseLeader: ({ next }) => this.changeLeader(next),
      restartReplicas: () => this.restartReplicas(),
    };
    (handlers[step.kind] as (item: ModelStep) => void)(step);
  }

  private send(entry: ModelEntry, companions: number): void {
    if ((entry.list.find(FATAL, this.now)?.refusedMs ?? 0) > 0) return;
    const kind = entry.isCut ? 'none' : this.readLeader().findRestriction(FATAL).kind;
    if (kind === 'refused' || kind === 'held') return;
    if (this.isLate(entry)) this.lateSends += 1;
    if (this.isReachable(entry) && this.now < this.refusedUntil) this.breaches += 1;
    this.servers += 1;
    this.crashTimes.push(this.now);
    const fingerprints = [FATAL, ...Array.from({ length: companions }, (unused, position) => `honest${position}`)];
    fingerprints.forEach((fingerprint) => {
      this.crashCounts.set(fingerprint, (this.crashCounts.get(fingerprint) ?? 0) + 1);
      entry.crashRecords.add({ fingerprint, workerId: `w${this.servers}`, born: 0 }, this.now);
    });
  }

  private isLate(entry: ModelEntry): boolean {
    const third = this.crashTimes[2] ?? Infinity;
    return this.isReachable(entry) && this.now - third > REACHABLE_MS;
  }

  private isReachable({ isCut, undisturbedSince }: ModelEntry): boolean {
    return !isCut && this.now - Math.max(undisturbedSince, this.leadsSince) > REACHABLE_MS;
  }

  private cutOrJoin(entry: ModelEntry): void {
    entry.isCut = !entry.isCut;
    entry.undisturbedSince = this.now;
  }

  private changeLeader(next: number): void {
    this.replicas[this.leader] = this.makeRegistry([]);
    this.leader = next === this.leader ? (next + 1) % REPLICAS : next;
    this.term += 1;
    this.leadsSince = this.now;
  }

  private restartReplicas(): void {
    const records = this.readLeader().listSuspects();
    this.replicas = this.replicas.map(() => this.makeRegistry(records));
    this.term += 1;
    this.leadsSince = this.now;
  }

  /** Entries report crashes, the leader evaluates them, entries and followers get the list. */
  private deliverUpdates(): void {
    this.entries.filter(({ isCut }) => !isCut).forEach((entry) => {
      if (entry.lastLeader !== this.epoch) entry.crashRecords.markUnreported();
      entry.lastLeader = this.epoch;
      this.readLeader().applyReports({
        sightings: entry.crashRecords.takeUnreported(this.now), served: [],
      });
    });
    this.now += UPDATE_DELAY_MS;
    this.readLeader().evaluate();
    this.recordRefusal();
    this.replicas.filter((unused, position) => position !== this.leader)
      .forEach((replica) => replica.applyReply(this.answer(replica.heldVersion)));
    this.entries.filter(({ isCut }) => !isCut)
      .forEach(({ list }) => list.apply(this.answer(list.heldVersion), this.now));
  }

  private recordRefusal(): void {
    const { refusedMs } = this.readLeader().findRestriction(FATAL);
    if (this.refusedUntil === 0 && refusedMs > 0) this.refusedUntil = this.now + refusedMs;
  }

  private get epoch(): string {
    return `term ${this.term}`;
  }

  private answer(heldVersion: Partial<WatchRequest>): WatchReply {
    const request = WatchRequest.fromPartial(heldVersion);
    return WatchReply.fromPartial({
      workersEpoch: this.epoch, ...this.readLeader().buildPart(request, this.epoch),
    });
  }

  private readLeader(): SuspectRegistry {
    return this.replicas[this.leader] as SuspectRegistry;
  }

  private makeEntry(): ModelEntry {
    return {
      crashRecords: new CrashRecords(), list: new SuspectList(), isCut: false, lastLeader: '', undisturbedSince: this.now,
    };
  }

  private makeRegistry(cachedSuspects: readonly SuspectRecord[]): SuspectRegistry {
    return new SuspectRegistry({
      cachedSuspects,
      suspectCache: { saveIfChanged: () => undefined },
      clock: { now: () => this.now },
      logger: makeLogger('test', 'silent'),
      watches: new HeldCalls(),
      countEntries: () => ENTRIES,
    });
  }
}
