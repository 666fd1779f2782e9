/**
 * A model of callers, model engines and the desk that places requests on them, in simulated time.
 * It drives the decision core alone: no network, no processes, no clock.
 */
import prand from 'pure-rand';
import type { RandomGenerator } from 'pure-rand';
import { makeMechanisms } from '../../src/core/routing/mechanisms';
import type { Mechanism } from '../../src/core/routing/mechanisms';
import {
  requestSlots, makePlacementTables, applyPlacementUpdate, placeWaiting,
} from '../../src/core/routing/placement';
import type { PlacementDecision, PlacementUpdate } from '../../src/core/routing/placement';
import type { SlotRequest, PlacementTables } from '../../src/core/routing/placementTables';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

/** One kind of request. Tokens are means; lengths are log-normal. */
export interface ModelKind {
  readonly rank: number;
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Standard deviation of the logarithm of lengths; 0 where all are alike. */
  readonly spread: number;
  /** That of what callers say beforehand of an answer's length, by its true length. */
  readonly hintSpread: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** What an answer is worth that begins on time, and one that begins late. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** What is played. */
export interface ModelWorkload {
  readonly slots: number;
  /** How much longer work takes, engine by engine. */
  readonly slowness: readonly number[];
  readonly kinds: readonly ModelKind[];
  readonly seconds: number;
  /** Arrivals are this many times as many between two seconds. */
  readonly burst: { readonly from: number; readonly to: number; readonly times: number };
}

/** A request of a caller. */
interface ModelRequest {
  readonly kind: ModelKind;
  readonly ask: SlotRequest;
  /** When its caller first asked. */
  readonly bornAt: number;
  readonly isReturned: boolean;
  /** Tokens that its answer has in truth; the ask has what its caller said. */
  readonly outputTokens: number;
}

/** What came of a play. */
export interface ModelOutcome {
  /** What was served of all that was asked for, in worth. */
  readonly worth: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Ended by their deadline while they ran. */
  readonly cut: number;
  readonly asked: number;
  /** Times at which a slot was idle and a request waited for one. */
  readonly idleWhileWaiting: number;
  /** Slots taken beyond what an engine has. */
  readonly overfilled: number;
  /** Grants while a request of a higher rank that came no later waited. */
  readonly inversions: number;
  readonly longestWaitMs: number;
  readonly undecided: number;
}

type Counts = { -readonly [Key in keyof ModelOutcome]: number };

interface ModelEvent {
  readonly at: number;
  readonly run: () => void;
}

const SERVICE = 'engines';
const TICK_MS = 50;
const MS_PER_SECOND = 1_000;
const PROMPT_TOKEN_MS = 0.01;
const FIRST_MS = 30;
const OUTPUT_TOKEN_MS = 4;
const PACE_PIECES = 8;
const TOKENS_A_PIECE = 5;
/** A refused caller comes back once, when that leaves it two thirds of its time. */
const RETURN_PART = 1 / 3;

/** Plays a sheet with one seed and tells what came of it. */
export class PlacementModel {
  private readonly generator: RandomGenerator;

  private readonly tables: PlacementTables;

  private readonly requests = new Map<string, ModelRequest>();

  private readonly events: ModelEvent[] = [];

  private readonly counts: Counts = {
    worth: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    cut: 0,
    asked: 0,
    idleWhileWaiting: 0,
    overfilled: 0,
    inversions: 0,
    longestWaitMs: 0,
    undecided: 0,
  };

  private now = 0;

  private worthAsked = 0;

  private counter = 0;

  constructor(
    private readonly sheet: ModelWorkload,
    seed: number,
    off: readonly Mechanism[] = [],
  ) {
    this.generator = prand.xoroshiro128plus(seed);
    const workers = makeRoutedWorkers(makeMechanisms(off));
    applyRecords(workers, sheet.slowness.map((unused, position) => WorkerRecord.fromPartial({
      said: {
        workerId: String(position), service: SERVICE, address: `10.0.0.${position}:80`, zone: 'a', slots: sheet.slots, state: 'ready', sequence: 1,
      },
      standing: 'ready',
    })));
    this.tables = makePlacementTables(workers);
  }

  /** Plays all arrivals, and goes on until every request has ended. */
  run(): ModelOutcome {
    this.sheet.kinds.forEach((kind) => this.planArrival(kind, 0));
    const longest = Math.max(...this.sheet.kinds.map(({ deadlineMs }) => deadlineMs));
    const endAt = this.sheet.seconds * MS_PER_SECOND + 2 * longest;
    Array.from({ length: Math.ceil(endAt / TICK_MS) }, (unused, tick) => tick * TICK_MS)
      .forEach((at) => this.runUntil(at));
    this.counts.undecided = this.requests.size;
    return { ...this.counts, worth: this.counts.worth / Math.max(1, this.worthAsked) };
  }

  /** A number above 0, up to 1. */
  private drawPart(): number {
    return prand.unsafeUniformIntDistribution(1, 1_000_000, this.generator) / 1_000_000;
  }

  private drawGap(mean: number): number {
    return -Math.log(this.drawPart()) * mean;
  }

  private drawLength(mean: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(this.drawPart()));
    const normal = radius * Math.cos(2 * Math.PI * this.drawPart());
    return Math.ceil(mean * Math.exp(spread * normal - (spread * spread) / 2));
  }

  /** Each arrival plans the next one of its kind. */
  private planArrival(kind: ModelKind, from: number): void {
    const { seconds, burst } = this.sheet;
    const second = from / MS_PER_SECOND;
    const times = second >= burst.from && second < burst.to ? burst.times : 1;
    const at = from + Math.max(0.1, this.drawGap(MS_PER_SECOND / (kind.perSecond * times)));
    if (at > seconds * MS_PER_SECOND) return;
    this.schedule(at, () => {
      this.planArrival(kind, at);
      this.admit(kind);
    });
  }

  private schedule(at: number, run: () => void): void {
    this.events.push({ at, run });
  }

  /** Takes the next event out when it is due; one event may plan another before the same tick. */
  private takeDue(at: number): ModelEvent | undefined {
    const next = this.events.reduce<ModelEvent | undefined>(
      (first, event) => (!first || event.at < first.at ? event : first),
      undefined,
    );
    if (!next || next.at > at) return undefined;
    this.events.splice(this.events.indexOf(next), 1);
    return next;
  }

  private runUntil(at: number): void {
    for (let event = this.takeDue(at); event; event = this.takeDue(at)) {
      this.now = event.at;
      event.run();
    }
    this.now = at;
    this.take(placeWaiting(this.tables, at));
    this.check();
  }

  private admit(kind: ModelKind): void {
    this.worthAsked += kind.worth;
    this.counts.asked += 1;
    this.ask(kind, this.now, false);
  }

  private ask(kind: ModelKind, bornAt: number, isReturned: boolean): void {
    this.counter += 1;
    const outputTokens = this.drawLength(kind.outputTokens, kind.spread);
    const ask: SlotRequest = {
      id: `r${this.counter}`,
      entryId: 'e1',
      service: SERVICE,
      rank: kind.rank,
      promptTokens: this.drawLength(kind.promptTokens, kind.spread),
      outputTokens: this.drawLength(outputTokens, kind.hintSpread),
      targetMs: kind.targetMs,
      deadlineAt: bornAt + kind.deadlineMs,
      zone: 'a',
      tried: [],
      askedAt: this.now,
    };
    this.requests.set(ask.id, {
      kind, ask, bornAt, isReturned, outputTokens,
    });
    this.take(requestSlots(this.tables, [ask], this.now));
  }

  private take(decisions: readonly PlacementDecision[]): void {
    decisions.forEach((decision) => {
      const request = this.requests.get(decision.id);
      if (!request) return;
      const waitedMs = this.now - request.ask.askedAt;
      this.counts.longestWaitMs = Math.max(this.counts.longestWaitMs, waitedMs);
      if (decision.kind === 'grant') this.start(request, Number(decision.workerId));
      else this.refuse(request, decision.retryAfterMs);
    });
  }

  private refuse(request: ModelRequest, retryAfterMs: number): void {
    const { kind, bornAt, isReturned } = request;
    this.requests.delete(request.ask.id);
    const leftMs = bornAt + kind.deadlineMs - this.now;
    if (isReturned || retryAfterMs > leftMs * RETURN_PART) this.counts.refused += 1;
    else this.schedule(this.now + retryAfterMs, () => this.ask(kind, bornAt, true));
  }

  private start(request: ModelRequest, engine: number): void {
    const higher = [...this.tables.waiting.values()].filter(({ rank, askedAt }) => (
      rank < request.ask.rank && askedAt <= request.ask.askedAt));
    this.counts.inversions += higher.length > 0 ? 1 : 0;
    const slowness = this.sheet.slowness[engine] ?? 1;
    const { ask, outputTokens } = request;
    const firstAt = this.now + slowness * (FIRST_MS + PROMPT_TOKEN_MS * ask.promptTokens);
    const endAt = firstAt + slowness * OUTPUT_TOKEN_MS * outputTokens;
    const pieceMs = slowness * OUTPUT_TOKEN_MS * TOKENS_A_PIECE;
    if (firstAt < ask.deadlineAt) this.schedule(firstAt, () => this.tell(request, 'running'));
    const pacedAt = firstAt + PACE_PIECES * pieceMs;
    if (pacedAt < Math.min(endAt, ask.deadlineAt)) {
      this.schedule(pacedAt, () => this.tell(request, 'running', { paceMs: pieceMs }));
    }
    if (endAt > ask.deadlineAt) {
      this.schedule(ask.deadlineAt, () => this.end(request, 'dropped', firstAt));
    } else {
      this.schedule(endAt, () => this.end(request, 'ended', firstAt, {
        firstEventMs: firstAt - ask.askedAt, outputMs: endAt - firstAt,
      }));
    }
  }

  private tell(
    { ask }: ModelRequest,
    phase: PlacementUpdate['phase'],
    times: Partial<PlacementUpdate> = {},
  ): void {
    applyPlacementUpdate(this.tables, {
      id: ask.id, phase, paceMs: 0, firstEventMs: 0, outputMs: 0, ...times,
    }, this.now);
  }

  private end(
    request: ModelRequest,
    phase: 'ended' | 'dropped',
    firstAt: number,
    times: Partial<PlacementUpdate> = {},
  ): void {
    const { kind, bornAt, ask } = request;
    this.requests.delete(ask.id);
    this.tell(request, phase, times);
    if (phase === 'dropped') {
      this.counts.cut += 1;
    } else {
      const isLate = firstAt - bornAt > kind.targetMs;
      this.counts[isLate ? 'late' : 'onTime'] += 1;
      this.counts.worth += isLate ? kind.lateWorth : kind.worth;
    }
    this.take(placeWaiting(this.tables, this.now));
  }

  /** Looks for what must never be: a slot given twice, or idle while a request waits for one. */
  private check(): void {
    const held = this.sheet.slowness.map((unused, position) => (
      [...this.tables.placed.values()].filter(({ worker }) => worker.id === String(position)).length
    ));
    if (held.some((count) => count > this.sheet.slots)) this.counts.overfilled += 1;
    const isIdle = held.some((count) => count < this.sheet.slots);
    if (isIdle && this.tables.waiting.size > 0) this.counts.idleWhileWaiting += 1;
  }
}
