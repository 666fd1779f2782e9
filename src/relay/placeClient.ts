import { NO_TIMES } from '../core/routing/placementTables';
import { computePaceWaitMs } from '../core/routing/messagePace';
import type {
  PlaceDecisions, PlacedReport, PlaceNews, PlaceReply, PlaceRequest, SiteClient,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { TurnTask } from '../utils/turnTask';
import type { ClientStream, RpcLink } from '../wire/rpcLink';
import { CrashNotes } from './crashNotes';
import type { SeenEnd } from './crashNotes';

/**
 * Silence of the leader after which an entry decides by itself, in milliseconds: the leader sends a
 * sign of life each 100 ms while requests wait, and requests have a target of 400 ms or more.
 */
const SILENCE_MS = 250;
/** How long an entry goes on deciding by itself, in milliseconds. */
const SUSPECT_MS = 400;
/** Reports kept for one message; the oldest go, as the leader expires what it does not hear of. */
const MAX_REPORTS = 2_000;
/**
 * Longest that news of the beginning of a stream wait for a message that goes out anyway, in
 * milliseconds: by it the leader knows what a server still has to read.
 */
const BEGUN_FLUSH_MS = 20;

/** What the place client needs. */
export interface PlaceClientParts {
  /** Names this start of the entry. */
  readonly entryId: string;
  /** The leader of control; undefined while none is known. */
  readonly findLeader: () => RpcLink<SiteClient> | undefined;
  /** Entries that speak to the same leader. */
  readonly countEntries: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A request whose decision has not come. */
interface WaitingAsk {
  readonly request: PlaceRequest;
  readonly resolve: (reply: PlaceReply | undefined) => void;
}

/** The stream to one leader. */
interface Line {
  readonly link: RpcLink<SiteClient>;
  readonly stream: ClientStream<PlaceNews>;
  /** Number of the last message that was sent, and of the last that asked for places. */
  sent: number;
  asked: number;
  /** Number of the last message that the leader is known to have taken in. */
  acknowledged: number;
  /** Since when something is owed, monotonic milliseconds. */
  owedSince: number;
}

/**
 * Asks the leader which model engine takes a request, and tells it how that goes, over one stream:
 * what an entry has to say in one turn of its loop is one message, and a request that waits costs
 * nothing until it is decided. As calls, one for each request and each report, they would fill the
 * leader's processor in a burst: it answers late, and entries choose for themselves.
 *
 * Guards requests against a leader that is dead, frozen or cut off: after a short silence, and for
 * a while from then on, the entry chooses by itself.
 *
 * @example
 * const reply = await client.place(request, deadlineAt);
 * if (!reply) chooseHere();
 */
export class PlaceClient {
  private suspectUntil = -Infinity;

  private readonly waiting = new Map<string, WaitingAsk>();

  /** Places that the leader has given and that are in use. */
  private readonly held = new Set<string>();

  private requests: PlaceRequest[] = [];

  private reports: PlacedReport[] = [];

  private readonly crashes = new CrashNotes();

  /** Suspect requests that were served, which the leader has not heard of. */
  private served: string[] = [];

  private line: Line | undefined;

  private readonly flushing = new TurnTask(() => this.flush());

  private reportTimer: NodeJS.Timeout | undefined;

  /** When the reports that wait go out, monotonic milliseconds. */
  private reportAt = 0;

  private watchdog: NodeJS.Timeout | undefined;

  constructor(private readonly parts: PlaceClientParts) {}

  /** Resolves when it is decided; with undefined when the leader cannot be asked. */
  place(request: PlaceRequest, deadlineAt: number): Promise<PlaceReply | undefined> {
    const now = this.parts.clock.now();
    if (!this.canAsk(now) || now >= deadlineAt) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      this.waiting.set(request.placeId, { request, resolve });
      this.requests.push(request);
      this.flushing.schedule();
    });
  }

  /** Takes a request back that nobody waits for any more. */
  cancel(placeId: string): void {
    const asked = this.waiting.get(placeId);
    if (!asked) return;
    this.waiting.delete(placeId);
    this.report({ placeId, phase: 'dropped', ...NO_TIMES });
    asked.resolve(undefined);
  }

  /** Tells how a placed request goes: at once when it has ended, as others wait for its slot. */
  report(report: PlacedReport): void {
    if (report.phase !== 'running') this.held.delete(report.placeId);
    this.reports.push(report);
    if (this.reports.length > MAX_REPORTS) this.reports.shift();
    if (report.phase !== 'running') this.flushing.schedule();
    else if (report.paceMs === 0) this.flushWithin(BEGUN_FLUSH_MS);
    else this.flushWithin(computePaceWaitMs(this.parts.countEntries()));
  }

  /** Tells that a server ended under a request. */
  reportEnd(end: SeenEnd): void {
    this.crashes.add(end, this.parts.clock.now());
    this.flushing.schedule();
  }

  /** Whether servers ended here of late, under any request. */
  get hasEnds(): boolean {
    return this.crashes.hasEnds(this.parts.clock.now());
  }

  /** Counts the servers that ended here of late under a request. */
  countEnds(fingerprint: string): number {
    return this.crashes.countServers(fingerprint, this.parts.clock.now());
  }

  /** Tells that a request was served under which a server had ended before. */
  reportServed(fingerprint: string): void {
    this.crashes.forget(fingerprint);
    this.served = [...this.served, fingerprint].slice(-MAX_REPORTS);
    this.flushing.schedule();
  }

  /** Ends the stream. */
  close(): void {
    this.dropLine();
    this.giveUpWaiting();
  }

  private canAsk(now: number): boolean {
    return now >= this.suspectUntil && this.parts.findLeader() !== undefined;
  }

  private flushWithin(ms: number): void {
    const at = this.parts.clock.now() + ms;
    if (this.reportTimer && at >= this.reportAt) return;
    clearTimeout(this.reportTimer);
    this.reportAt = at;
    this.reportTimer = setTimeout(() => this.flush(), ms);
  }

  private flush(): void {
    clearTimeout(this.reportTimer);
    this.reportTimer = undefined;
    const link = this.parts.findLeader();
    const now = this.parts.clock.now();
    if (!link || now < this.suspectUntil) {
      this.giveUpWaiting();
      return;
    }
    const line = this.findLine(link);
    const { requests, reports, served } = this;
    const isEmpty = requests.length + reports.length + served.length === 0;
    if (isEmpty && !this.crashes.hasUntold) return;
    this.requests = [];
    this.reports = [];
    this.served = [];
    const isFirst = line.sent === 0;
    if (!this.isOwed(line)) line.owedSince = now;
    line.sent += 1;
    if (requests.length > 0) line.asked = line.sent;
    line.stream.write({
      number: line.sent,
      requests,
      reports,
      entryId: isFirst ? this.parts.entryId : '',
      held: isFirst ? [...this.held] : [],
      sightings: this.crashes.takeUntold(now),
      served,
    });
    this.watch();
  }

  /** The stream to the leader; another leader knows nothing of what the one before was asked. */
  private findLine(link: RpcLink<SiteClient>): Line {
    if (this.line?.link === link) return this.line;
    this.dropLine();
    this.crashes.markUntold();
    this.requests = [...this.waiting.values()].map(({ request }) => request);
    const stream = link.openStream<PlaceNews, PlaceDecisions>((stub) => stub.place.bind(stub), {
      take: (decisions) => {
        if (this.line?.stream === stream) this.takeDecisions(decisions);
      },
      close: (error) => {
        if (this.line?.stream === stream) this.suspendLeader(error?.message ?? 'it ended the stream');
      },
    });
    this.line = {
      link, stream, sent: 0, asked: 0, acknowledged: 0, owedSince: this.parts.clock.now(),
    };
    return this.line;
  }

  private takeDecisions({ acknowledged, replies }: PlaceDecisions): void {
    if (!this.line) return;
    this.line.acknowledged = acknowledged;
    this.line.owedSince = this.parts.clock.now();
    replies.forEach((reply) => this.settle(reply));
  }

  private settle(reply: PlaceReply): void {
    const asked = this.waiting.get(reply.placeId);
    this.waiting.delete(reply.placeId);
    if (reply.code === 0) this.held.add(reply.placeId);
    if (asked) asked.resolve(reply);
    // Guards a slot that was given to a request which had chosen by itself meanwhile.
    else if (reply.code === 0) this.report({ placeId: reply.placeId, phase: 'dropped', ...NO_TIMES });
  }

  /** Whether the leader has something to say: what only tells it something it does not answer. */
  private isOwed(line: Line): boolean {
    return line.acknowledged < line.asked || this.waiting.size > 0;
  }

  /** Looks after the leader while it owes an answer. */
  private watch(): void {
    this.watchdog ??= setTimeout(() => {
      this.watchdog = undefined;
      // What came while this process was busy is read first: it is no silence of the leader.
      setImmediate(() => this.checkSilence());
    }, SILENCE_MS / 2);
  }

  private checkSilence(): void {
    const { line } = this;
    if (!line || !this.isOwed(line)) return;
    const silentMs = this.parts.clock.now() - line.owedSince;
    if (silentMs < SILENCE_MS) {
      this.watch();
      return;
    }
    line.stream.suspect();
    this.suspendLeader(`silent for ${Math.round(silentMs)} ms`);
  }

  private suspendLeader(reason: string): void {
    this.parts.logger.warn('requests are placed here: the leader is out of reach', { reason });
    this.suspectUntil = this.parts.clock.now() + SUSPECT_MS;
    this.dropLine();
    this.giveUpWaiting();
  }

  private dropLine(): void {
    this.line?.stream.cancel();
    this.line = undefined;
  }

  private giveUpWaiting(): void {
    const all = [...this.waiting.values()];
    this.waiting.clear();
    this.requests = [];
    all.forEach(({ resolve }) => resolve(undefined));
  }
}
