/**
 * A model of callers, model engines and the placement of requests on them, in simulated time. It
 * drives only the placement functions: no network, no processes, no clock.
 */
import prand from 'pure-rand';
import type { RandomGenerator } from 'pure-rand';
import { makeMechanisms } from '../../src/core/routing/mechanisms';
import type { Mechanism } from '../../src/core/routing/mechanisms';
import { makePlacementTables } from '../../src/core/routing/makePlacementTables';
import { placeWaiting, requestSlots } from '../../src/core/routing/placement';
import { applyPlacementUpdate } from '../../src/core/routing/placementUpdates';
import type { PlacementDecision } from '../../src/core/routing/placement';
import type { PlacementUpdate } from '../../src/core/routing/placementUpdates';
import type { PlacementTables, SlotRequest } from '../../src/core/routing/placementTables';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

/** One kind of request. Token counts are means; lengths are log-normal. */
export interface ModelKind {
  readonly rank: number;
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Standard deviation of the logarithm of lengths; 0 if all have the same length. */
  readonly spread: number;
  /** Standard deviation of the logarithm of length hints, relative to the true length. */
  readonly hintSpread: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Value of an answer that starts on time, and of one that starts late. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** A workload and the engines that it runs on. */
export interface ModelWorkload {
  readonly slots: number;
  /** Factor by which work takes longer, for each engine. */
  readonly slowness: readonly number[];
  readonly kinds: readonly ModelKind[];
  readonly seconds: number;
  /** Between two seconds, arrivals are more frequent by this factor. */
  readonly burst: { readonly from: number; readonly to: number; readonly times: number };
}

/** A request of a caller. */
interface ModelRequest {
  readonly kind: ModelKind;
  readonly slotRequest: SlotRequest;
  /** When its caller sent it for the first time. */
  readonly firstSentAt: number;
  readonly isRetry: boolean;
  /** True length of its answer in tokens; the slot request has the length hint. */
  readonly outputTokens: number;
}

/** Result of a simulation. */
export interface ModelOutcome {
  /** Served share of the total worth. */
  readonly worth: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Requests ended by their deadline while they ran. */
  readonly cut: number;
  readonly asked: number;
  /** Number of checks at which a slot was idle while a request waited for one. */
  readonly idleWhileWaiting: number;
  /** Number of checks at which an engine had more requests than slots. */
  readonly overfilled: number;
  /** Grants while a request of a higher rank that arrived no later was waiting. */
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
const START_MS = 30;
const OUTPUT_TOKEN_MS = 4;
const EVENTS_BEFORE_PACE = 8;
const TOKENS_PER_EVENT = 5;
/** A refused caller retries once, if the delay leaves it two thirds of its remaining time. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;

/** Simulates a workload with one seed. */
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

  private totalWorth = 0;

  private counter = 0;

  constructor(
    private readonly workload: ModelWorkload,
    seed: number,
    off: readonly Mechanism[] = [],
  ) {
    this.generator = prand.xoroshiro128plus(seed);
    const workers = makeRoutedWorkers(makeMechanisms(off));
    applyRecords(workers, workload.slowness.map((unused, position) => WorkerRecord.fromPartial({
      said: {
        workerId: String(position), service: SERVICE, address: `10.0.0.${position}:80`, zone: 'a', slots: workload.slots, state: 'ready', sequence: 1,
      },
      standing: 'ready',
    })), 0);
    this.tables = makePlacementTables(workers);
  }

  /** Simulates all arrivals and continues until every request has ended. */
  run(): ModelOutcome {
    this.workload.kinds.forEach((kind) => this.planArrival(kind, 0));
    const longest = Math.max(...this.workload.kinds.map(({ deadlineMs }) => deadlineMs));
    const endAt = this.workload.seconds * MS_PER_SECOND + 2 * longest;
    Array.from({ length: Math.ceil(endAt / TICK_MS) }, (unused, tick) => tick * TICK_MS)
      .forEach((at) => this.runUntil(at));
    this.counts.undecided = this.requests.size;
    return { ...this.counts, worth: this.counts.worth / Math.max(1, this.totalWorth) };
  }

  /** Draws a number above 0, up to 1. */
  private drawUniform(): number {
    return prand.unsafeUniformIntDistribution(1, 1_000_000, this.generator) / 1_000_000;
  }

  private drawInterval(mean: number): number {
    return -Math.log(this.drawUniform()) * mean;
  }

  private drawLength(mean: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(this.drawUniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.drawUniform());
    return Math.ceil(mean * Math.exp(spread * normal - (spread * spread) / 2));
  }

  /** Schedules the next arrival of a kind, which schedules the following one. */
  private planArrival(kind: ModelKind, from: number): void {
    const { seconds, burst } = this.workload;
    const second = from / MS_PER_SECOND;
    const times = second >= burst.from && second < burst.to ? burst.times : 1;
    const at = from + Math.max(0.1, this.drawInterval(MS_PER_SECOND / (kind.perSecond * times)));
    if (at > seconds * MS_PER_SECOND) return;
    this.schedule(at, () => {
      this.planArrival(kind, at);
      this.admit(kind);
    });
  }

  private schedule(at: number, run: () => void): void {
    this.events.push({ at, run });
  }

  /** Removes the next event if it is due; an event may schedule another before the same tick. */
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
    this.applyDecisions(placeWaiting(this.tables, at));
    this.checkInvariants();
  }

  private admit(kind: ModelKind): void {
    this.totalWorth += kind.worth;
    this.counts.asked += 1;
    this.requestSlot(kind, this.now, false);
  }

  private requestSlot(kind: ModelKind, firstSentAt: number, isRetry: boolean): void {
    this.counter += 1;
    const outputTokens = this.drawLength(kind.outputTokens, kind.spread);
    const slotRequest: SlotRequest = {
      id: `r${this.counter}`,
      entryId: 'e1',
      service: SERVICE,
      rank: kind.rank,
      promptTokens: this.drawLength(kind.promptTokens, kind.spread),
      outputTokens: this.drawLength(outputTokens, kind.hintSpread),
      targetMs: kind.targetMs,
      deadlineAt: firstSentAt + kind.deadlineMs,
      zone: 'a',
      tried: [],
      askedAt: this.now,
    };
    this.requests.set(slotRequest.id, {
      kind, slotRequest, firstSentAt, isRetry, outputTokens,
    });
    this.applyDecisions(requestSlots(this.tables, [slotRequest], this.now));
  }

  private applyDecisions(decisions: readonly PlacementDecision[]): void {
    decisions.forEach((decision) => {
      const request = this.requests.get(decision.id);
      if (!request) return;
      const waitedMs = this.now - request.slotRequest.askedAt;
      this.counts.longestWaitMs = Math.max(this.counts.longestWaitMs, waitedMs);
      if (decision.kind === 'grant') this.start(request, Number(decision.workerId));
      else this.refuse(request, decision.retryAfterMs);
    });
  }

  private refuse(request: ModelRequest, retryAfterMs: number): void {
    const { kind, firstSentAt, isRetry } = request;
    this.requests.delete(request.slotRequest.id);
    const remainingMs = firstSentAt + kind.deadlineMs - this.now;
    if (isRetry || retryAfterMs > remainingMs * MAX_RETRY_DELAY_SHARE) this.counts.refused += 1;
    else this.schedule(this.now + retryAfterMs, () => this.requestSlot(kind, firstSentAt, true));
  }

  private start(request: ModelRequest, engine: number): void {
    const higher = this.tables.waiting.listAll().filter(({ rank, askedAt }) => (
      rank < request.slotRequest.rank && askedAt <= request.slotRequest.askedAt));
    this.counts.inversions += higher.length > 0 ? 1 : 0;
    const slowness = this.workload.slowness[engine] ?? 1;
    const { slotRequest, outputTokens } = request;
    const firstAt = this.now + slowness * (START_MS + PROMPT_TOKEN_MS * slotRequest.promptTokens);
    const endAt = firstAt + slowness * OUTPUT_TOKEN_MS * outputTokens;
    const eventMs = slowness * OUTPUT_TOKEN_MS * TOKENS_PER_EVENT;
    if (firstAt < slotRequest.deadlineAt) this.schedule(firstAt, () => this.report(request, 'running'));
    const pacedAt = firstAt + EVENTS_BEFORE_PACE * eventMs;
    if (pacedAt < Math.min(endAt, slotRequest.deadlineAt)) {
      this.schedule(pacedAt, () => this.report(request, 'running', { paceMs: eventMs }));
    }
    if (endAt > slotRequest.deadlineAt) {
      this.schedule(slotRequest.deadlineAt, () => this.end(request, 'dropped', firstAt));
    } else {
      this.schedule(endAt, () => this.end(request, 'ended', firstAt, {
        firstEventMs: firstAt - slotRequest.askedAt, outputMs: endAt - firstAt,
      }));
    }
  }

  private report(
    { slotRequest }: ModelRequest,
    phase: PlacementUpdate['phase'],
    timings: Partial<PlacementUpdate> = {},
  ): void {
    applyPlacementUpdate(this.tables, {
      id: slotRequest.id, phase, paceMs: 0, firstEventMs: 0, outputMs: 0, ...timings,
    }, this.now);
  }

  private end(
    request: ModelRequest,
    phase: 'ended' | 'dropped',
    firstAt: number,
    timings: Partial<PlacementUpdate> = {},
  ): void {
    const { kind, firstSentAt, slotRequest } = request;
    this.requests.delete(slotRequest.id);
    this.report(request, phase, timings);
    if (phase === 'dropped') {
      this.counts.cut += 1;
    } else {
      const isLate = firstAt - firstSentAt > kind.targetMs;
      this.counts[isLate ? 'late' : 'onTime'] += 1;
      this.counts.worth += isLate ? kind.lateWorth : kind.worth;
    }
    this.applyDecisions(placeWaiting(this.tables, this.now));
  }

  /** Checks invariants: no slot is granted twice or idle while a request waits for one. */
  private checkInvariants(): void {
    const placedCounts = this.workload.slowness.map((unused, position) => (
      [...this.tables.placed.values()].filter(({ worker }) => worker.id === String(position)).length
    ));
    if (placedCounts.some((count) => count > this.workload.slots)) this.counts.overfilled += 1;
    const isIdle = placedCounts.some((count) => count < this.workload.slots);
    if (isIdle && this.tables.waiting.size > 0) this.counts.idleWhileWaiting += 1;
  }
}
