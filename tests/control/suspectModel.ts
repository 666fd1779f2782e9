import fc from 'fast-check';
import { SuspectKeeper } from '../../src/control/suspectKeeper';
import { CRASH_GROUP_WINDOW_MS } from '../../src/core/quarantine/crashTable';
import { SuspectList } from '../../src/core/quarantine/suspectList';
import { WatchReply, WatchRequest } from '../../src/protocol/generated/beechlift';
import type { SuspectRecord } from '../../src/protocol/generated/beechlift';
import { CrashRecords } from '../../src/relay/crashRecords';
import { makeLogger } from '../../src/telemetry/logger';
import { HeldCalls } from '../../src/utils/heldCalls';

const REPLICAS = 3;
const ENTRIES = 4;
/** Time after which an entry that was undisturbed, before a stable leader, is in touch, in ms. */
const TOUCH_MS = 3_000;
/** How long news take between entries and the leader, and until ends are judged, in ms. */
const NEWS_MS = 2 * CRASH_GROUP_WINDOW_MS;
const FATAL = 'fatal';

/** One thing that happens; what it does not need is ignored. */
export type ModelStep = | { readonly kind: 'send'; readonly entry: number; readonly beside: number }
  | { readonly kind: 'pause'; readonly ms: number }
  | { readonly kind: 'cutOrJoin' | 'restartEntry'; readonly entry: number }
  | { readonly kind: 'loseLeader'; readonly next: number }
  | { readonly kind: 'restartReplicas' };

const drawEntry = fc.nat({ max: ENTRIES - 1 });

/** Steps of a run, in which the fatal request comes again and again. */
export const drawSteps: fc.Arbitrary<ModelStep[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('send' as const), entry: drawEntry, beside: fc.nat({ max: 3 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pause' as const), ms: fc.integer({ min: 1, max: 2_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('cutOrJoin' as const, 'restartEntry' as const), entry: drawEntry }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('loseLeader' as const), next: fc.nat({ max: REPLICAS - 1 }) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'restartReplicas' as const }) },
), { minLength: 10, maxLength: 40 });

interface ModelEntry {
  notes: CrashRecords;
  list: SuspectList;
  isCut: boolean;
  /** The leader that it spoke to last. */
  spokeTo: string;
  calmSince: number;
}

/** What a run came to. */
export interface ModelOutcome {
  /** Sends by entries in touch later than the window after the third end. */
  readonly lateSends: number;
  /** Sends by entries in touch while the request was refused. */
  readonly breaches: number;
  /** Honest requests that were refused though fewer than three servers ended under them. */
  readonly wronged: readonly string[];
}

/** Entries, replicas and one request that ends servers, under a clock of the model's own. */
export class SuspectModel {
  private now = 0;

  private replicas: SuspectKeeper[];

  private leader = 0;

  private term = 0;

  private leadsSince = 0;

  private readonly entries: ModelEntry[];

  private readonly endTimes: number[] = [];

  private readonly endsUnder = new Map<string, number>();

  private lateSends = 0;

  private breaches = 0;

  /** Until when the leader that refused it first said that it is refused. */
  private refusedUntil = 0;

  private servers = 0;

  constructor() {
    this.replicas = Array.from({ length: REPLICAS }, () => this.makeKeeper([]));
    this.entries = Array.from({ length: ENTRIES }, () => this.makeEntry());
  }

  /** Plays steps; news travel between any two of them. */
  run(steps: readonly ModelStep[]): ModelOutcome {
    steps.forEach((step) => {
      this.perform(step);
      this.now += NEWS_MS;
      this.tellNews();
    });
    const wronged = this.entries.flatMap(({ list }) => [...this.endsUnder]
      .filter(([name, ends]) => ends < 3 && (list.find(name, this.now)?.refusedMs ?? 0) > 0)
      .map(([name]) => name));
    return { lateSends: this.lateSends, breaches: this.breaches, wronged };
  }

  private perform(step: ModelStep): void {
    const handlers: { [Kind in ModelStep['kind']]: (item: Extract<ModelStep, { kind: Kind }>) => void } = {
      send: ({ entry, beside }) => this.send(this.entries[entry] as ModelEntry, beside),
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

  private send(entry: ModelEntry, beside: number): void {
    if ((entry.list.find(FATAL, this.now)?.refusedMs ?? 0) > 0) return;
    const kind = entry.isCut ? 'none' : this.readLeader().findCaution(FATAL).kind;
    if (kind === 'refused' || kind === 'held') return;
    if (this.isLate(entry)) this.lateSends += 1;
    if (this.isInTouch(entry) && this.now < this.refusedUntil) this.breaches += 1;
    this.servers += 1;
    this.endTimes.push(this.now);
    const under = [FATAL, ...Array.from({ length: beside }, (unused, position) => `honest${position}`)];
    under.forEach((fingerprint) => {
      this.endsUnder.set(fingerprint, (this.endsUnder.get(fingerprint) ?? 0) + 1);
      entry.notes.add({ fingerprint, workerId: `w${this.servers}`, born: 0 }, this.now);
    });
  }

  private isLate(entry: ModelEntry): boolean {
    const third = this.endTimes[2] ?? Infinity;
    return this.isInTouch(entry) && this.now - third > TOUCH_MS;
  }

  private isInTouch({ isCut, calmSince }: ModelEntry): boolean {
    return !isCut && this.now - Math.max(calmSince, this.leadsSince) > TOUCH_MS;
  }

  private cutOrJoin(entry: ModelEntry): void {
    entry.isCut = !entry.isCut;
    entry.calmSince = this.now;
  }

  private changeLeader(next: number): void {
    this.replicas[this.leader] = this.makeKeeper([]);
    this.leader = next === this.leader ? (next + 1) % REPLICAS : next;
    this.term += 1;
    this.leadsSince = this.now;
  }

  private restartReplicas(): void {
    const records = this.readLeader().listSuspects();
    this.replicas = this.replicas.map(() => this.makeKeeper(records));
    this.term += 1;
    this.leadsSince = this.now;
  }

  /** Entries tell what they saw; the leader judges; entries and followers hear the list. */
  private tellNews(): void {
    this.entries.filter(({ isCut }) => !isCut).forEach((entry) => {
      if (entry.spokeTo !== this.epoch) entry.notes.markUnreported();
      entry.spokeTo = this.epoch;
      this.readLeader().take({ sightings: entry.notes.takeUnreported(this.now), served: [] });
    });
    this.now += NEWS_MS;
    this.readLeader().tick();
    this.noteRefusal();
    this.replicas.filter((unused, position) => position !== this.leader)
      .forEach((replica) => replica.follow(this.answer(replica.held)));
    this.entries.filter(({ isCut }) => !isCut)
      .forEach(({ list }) => list.apply(this.answer(list.heldVersion), this.now));
  }

  private noteRefusal(): void {
    const { refusedMs } = this.readLeader().findCaution(FATAL);
    if (this.refusedUntil === 0 && refusedMs > 0) this.refusedUntil = this.now + refusedMs;
  }

  private get epoch(): string {
    return `term ${this.term}`;
  }

  private answer(held: Partial<WatchRequest>): WatchReply {
    const request = WatchRequest.fromPartial(held);
    return WatchReply.fromPartial({
      workersEpoch: this.epoch, ...this.readLeader().buildPart(request, this.epoch),
    });
  }

  private readLeader(): SuspectKeeper {
    return this.replicas[this.leader] as SuspectKeeper;
  }

  private makeEntry(): ModelEntry {
    return {
      notes: new CrashRecords(), list: new SuspectList(), isCut: false, spokeTo: '', calmSince: this.now,
    };
  }

  private makeKeeper(rememberedSuspects: readonly SuspectRecord[]): SuspectKeeper {
    return new SuspectKeeper({
      rememberedSuspects,
      suspectMemo: { note: () => undefined },
      clock: { now: () => this.now },
      logger: makeLogger('test', 'silent'),
      watches: new HeldCalls(),
      countEntries: () => ENTRIES,
    });
  }
}
