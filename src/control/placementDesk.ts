import type {
  PlacedReport, PlaceReply, PlaceRequest, WorkerLoad, WorkerRecord,
} from '../protocol/generated/beechlift';
import {
  askPlaces, expirePlaced, makePlacement, notePlaced, runPlacement,
} from '../core/routing/placement';
import type { PlaceDecision, PlacedNews } from '../core/routing/placement';
import type { PlaceAsk } from '../core/routing/placementTables';
import { applyLoads, applyRecords, makeRoutedWorkers } from '../core/routing/routedWorkers';
import { resultCodes } from '../errors/resultCodes';
import type { Clock } from '../utils/clock';

/**
 * How long a request that waits is held before its entry hears that it still does. The entry takes
 * a longer silence for the leader's death and chooses by itself.
 */
export const PLACE_HOLD_MS = 150;

/** Decisions that nobody has fetched are kept for as long: the entry asks again within one hold. */
const KEPT_MS = 1_000;

const PHASES: readonly string[] = ['running', 'ended', 'failed', 'dropped', 'rejected', 'unreached'];

const isNews = (report: PlacedReport): boolean => PHASES.includes(report.phase);

/** The reply to a request that is not decided yet. */
export const STILL_WAITING: PlaceReply = {
  code: 0, message: '', workerId: '', retryAfterMs: 0, expectedMs: 0, waiting: true,
};

const toAsk = (request: PlaceRequest, now: number): PlaceAsk => ({
  id: request.placeId,
  entryId: request.entryId,
  service: request.service,
  rank: request.rank,
  promptTokens: request.promptTokens,
  outputTokens: request.outputTokens,
  targetMs: request.targetMs,
  deadlineAt: now + request.remainingMs,
  zone: request.zone,
  tried: request.tried,
  askedAt: now,
});

const toReply = (decision: PlaceDecision): PlaceReply => (decision.kind === 'grant'
  ? {
    ...STILL_WAITING, workerId: decision.workerId, expectedMs: decision.expectedMs, waiting: false,
  }
  : {
    ...STILL_WAITING,
    code: resultCodes.noSlotInTime.number,
    message: decision.reason,
    retryAfterMs: decision.retryAfterMs,
    waiting: false,
  });

/** Makes the reply to a request that its account's limit does not allow. */
export const refuseLimited = (message: string, retryAfterMs: number): PlaceReply => ({
  ...STILL_WAITING, code: resultCodes.accountLimited.number, message, retryAfterMs, waiting: false,
});

/**
 * Where entries ask which model engine takes a request. Knows nothing of the wire.
 *
 * @example
 * const [reply] = await desk.place([request]);
 */
export class PlacementDesk {
  private readonly workers = makeRoutedWorkers();

  private readonly tables = makePlacement(this.workers);

  private readonly held = new Map<string, (reply: PlaceReply) => void>();

  private readonly unfetched = new Map<string, { reply: PlaceReply; at: number }>();

  constructor(private readonly clock: Clock) {}

  /** Requests that wait for a slot, and those that hold one. */
  countRequests(): { readonly waiting: number; readonly placed: number } {
    return { waiting: this.tables.waiting.size, placed: this.tables.placed.size };
  }

  /** Whether a request waits here, or was decided on without its entry having heard. */
  hasHeard(placeId: string): boolean {
    return this.tables.waiting.has(placeId) || this.unfetched.has(placeId);
  }

  /**
   * Decides on requests that came together. Resolves as soon as one of them is decided, and after a
   * while in any case; the reply to another may be that it still waits.
   *
   * @param hasNews whether the caller is answered at once in any case
   */
  place(requests: readonly PlaceRequest[], hasNews = false): Promise<PlaceReply[]> {
    const now = this.clock.now();
    const replies = new Map<string, PlaceReply>();
    return new Promise((resolve) => {
      const answerAll = (): void => {
        requests.forEach(({ placeId }) => this.held.delete(placeId));
        resolve(requests.map(({ placeId }) => replies.get(placeId) ?? STILL_WAITING));
      };
      const timer = setTimeout(answerAll, PLACE_HOLD_MS);
      let isComplete = false;
      const hold = (placeId: string): void => {
        this.held.set(placeId, (reply) => {
          replies.set(placeId, reply);
          if (!isComplete) return;
          clearTimeout(timer);
          answerAll();
        });
      };
      requests.forEach(({ placeId }) => hold(placeId));
      this.settle(askPlaces(this.tables, requests.map((request) => toAsk(request, now)), now));
      requests.forEach(({ placeId }) => this.takeDecided(placeId));
      isComplete = true;
      if (replies.size === 0 && !hasNews) return;
      clearTimeout(timer);
      answerAll();
    });
  }

  /** Takes in how placed requests go, and gives the slots that become free to others. */
  report(reports: readonly PlacedReport[]): void {
    const now = this.clock.now();
    reports.filter(isNews).forEach(({ placeId, phase, ...rest }) => (
      notePlaced(this.tables, { id: placeId, phase: phase as PlacedNews['phase'], ...rest }, now)));
    this.settle(runPlacement(this.tables, now));
  }

  /** Takes in backend servers that changed. */
  applyRecords(records: readonly WorkerRecord[]): void {
    applyRecords(this.workers, records);
  }

  /** Takes in what entries have at backend servers without having asked here. */
  applyLoads(loads: readonly WorkerLoad[]): void {
    applyLoads(this.workers, loads);
  }

  /** Looks after what waits and what is held by entries that have gone. */
  tick(isThere: (entryId: string) => boolean): void {
    const now = this.clock.now();
    expirePlaced(this.tables, isThere, now);
    this.settle(runPlacement(this.tables, now));
    this.unfetched.forEach(({ at }, id) => {
      if (now - at > KEPT_MS) this.dropUnfetched(id);
    });
  }

  /** Tells all that wait to ask elsewhere. */
  close(): void {
    [...this.held.keys()].forEach((id) => this.answer(id, STILL_WAITING));
  }

  /** Hands on what was decided while its entry was not asking. */
  private takeDecided(placeId: string): void {
    const decided = this.unfetched.get(placeId);
    if (!decided) return;
    this.unfetched.delete(placeId);
    this.answer(placeId, decided.reply);
  }

  /** A slot that was given and never heard of goes back. */
  private dropUnfetched(id: string): void {
    this.unfetched.delete(id);
    notePlaced(this.tables, {
      id, phase: 'dropped', paceMs: 0, firstEventMs: 0, outputMs: 0,
    }, this.clock.now());
  }

  private settle(decisions: readonly PlaceDecision[]): void {
    decisions.forEach((decision) => this.answer(decision.id, toReply(decision)));
  }

  private answer(id: string, reply: PlaceReply): void {
    const resolve = this.held.get(id);
    this.held.delete(id);
    if (resolve) resolve(reply);
    else if (!reply.waiting) this.unfetched.set(id, { reply, at: this.clock.now() });
  }
}
