import { NO_TIMINGS } from '../core/routing/placementTables';
import { computePaceDelayMs } from '../core/routing/messageIntervals';
import type {
  PlaceDecisions, PlacedReport, PlaceNews, PlaceReply, PlaceRequest, SiteClient,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { TurnTask } from '../utils/turnTask';
import type { ClientStream, RpcLink } from '../wire/rpcLink';
import { CrashRecords } from './crashRecords';
import type { ServerCrash } from './crashRecords';

/**
 * Silence of the leader after which an entry decides by itself, in milliseconds: the leader sends a
 * sign of life each 100 ms while requests wait, and requests have a target of 400 ms or more.
 */
const LEADER_SILENCE_MS = 250;
/** How long an entry goes on deciding by itself, in milliseconds. */
const SUSPENSION_MS = 400;
/** Reports kept for one message; the oldest go, as the leader expires what it does not hear of. */
const MAX_REPORTS = 2_000;
/**
 * Longest that news of the beginning of a stream wait for a message that goes out anyway, in
 * milliseconds: by it the leader knows what a server still has to read.
 */
const STREAM_START_FLUSH_MS = 20;

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
interface PendingPlacement {
  readonly request: PlaceRequest;
  readonly resolve: (reply: PlaceReply | undefined) => void;
}

/** The stream to one leader. */
interface LeaderStream {
  readonly link: RpcLink<SiteClient>;
  readonly stream: ClientStream<PlaceNews>;
  /** Number of the last message that was sent, and of the last that asked for places. */
  lastSent: number;
  lastAsked: number;
  /** Number of the last message that the leader is known to have taken in. */
  lastAcknowledged: number;
  /** Since when something is owed, monotonic milliseconds. */
  replyDueSince: number;
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
  private suspendedUntil = -Infinity;

  private readonly waiting = new Map<string, PendingPlacement>();

  /** Places that the leader has given and that are in use. */
  private readonly activePlaces = new Set<string>();

  private requests: PlaceRequest[] = [];

  private reports: PlacedReport[] = [];

  private readonly crashes = new CrashRecords();

  /** Suspect requests that were served, which the leader has not heard of. */
  private served: string[] = [];

  private leaderStream: LeaderStream | undefined;

  private readonly flushTask = new TurnTask(() => this.flush());

  private flushTimer: NodeJS.Timeout | undefined;

  /** When the reports that wait go out, monotonic milliseconds. */
  private flushAt = 0;

  private watchdog: NodeJS.Timeout | undefined;

  constructor(private readonly parts: PlaceClientParts) {}

  /** Resolves when it is decided; with undefined when the leader cannot be asked. */
  place(request: PlaceRequest, deadlineAt: number): Promise<PlaceReply | undefined> {
    const now = this.parts.clock.now();
    if (!this.canAsk(now) || now >= deadlineAt) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      this.waiting.set(request.placeId, { request, resolve });
      this.requests.push(request);
      this.flushTask.schedule();
    });
  }

  /** Takes a request back that nobody waits for any more. */
  cancel(placeId: string): void {
    const pending = this.waiting.get(placeId);
    if (!pending) return;
    this.waiting.delete(placeId);
    this.report({ placeId, phase: 'dropped', ...NO_TIMINGS });
    pending.resolve(undefined);
  }

  /** Tells how a placed request goes: at once when it has ended, as others wait for its slot. */
  report(report: PlacedReport): void {
    if (report.phase !== 'running') this.activePlaces.delete(report.placeId);
    this.reports.push(report);
    if (this.reports.length > MAX_REPORTS) this.reports.shift();
    if (report.phase !== 'running') this.flushTask.schedule();
    else if (report.paceMs === 0) this.scheduleFlush(STREAM_START_FLUSH_MS);
    else this.scheduleFlush(computePaceDelayMs(this.parts.countEntries()));
  }

  /** Tells that a server ended under a request. */
  reportCrash(crash: ServerCrash): void {
    this.crashes.add(crash, this.parts.clock.now());
    this.flushTask.schedule();
  }

  /** Whether servers ended here of late, under any request. */
  get hasCrashes(): boolean {
    return this.crashes.hasCrashes(this.parts.clock.now());
  }

  /** Counts the servers that ended here of late under a request. */
  countCrashes(fingerprint: string): number {
    return this.crashes.countServers(fingerprint, this.parts.clock.now());
  }

  /** Tells that a request was served under which a server had ended before. */
  reportServed(fingerprint: string): void {
    this.crashes.forget(fingerprint);
    this.served = [...this.served, fingerprint].slice(-MAX_REPORTS);
    this.flushTask.schedule();
  }

  /** Ends the stream. */
  close(): void {
    this.closeStream();
    this.resolveWaiting();
  }

  private canAsk(now: number): boolean {
    return now >= this.suspendedUntil && this.parts.findLeader() !== undefined;
  }

  private scheduleFlush(ms: number): void {
    const at = this.parts.clock.now() + ms;
    if (this.flushTimer && at >= this.flushAt) return;
    clearTimeout(this.flushTimer);
    this.flushAt = at;
    this.flushTimer = setTimeout(() => this.flush(), ms);
  }

  private flush(): void {
    clearTimeout(this.flushTimer);
    this.flushTimer = undefined;
    const link = this.parts.findLeader();
    const now = this.parts.clock.now();
    if (!link || now < this.suspendedUntil) {
      this.resolveWaiting();
      return;
    }
    const leaderStream = this.findStream(link);
    const { requests, reports, served } = this;
    const isEmpty = requests.length + reports.length + served.length === 0;
    if (isEmpty && !this.crashes.hasUnreported) return;
    this.requests = [];
    this.reports = [];
    this.served = [];
    const isFirst = leaderStream.lastSent === 0;
    if (!this.isReplyDue(leaderStream)) leaderStream.replyDueSince = now;
    leaderStream.lastSent += 1;
    if (requests.length > 0) leaderStream.lastAsked = leaderStream.lastSent;
    leaderStream.stream.write({
      number: leaderStream.lastSent,
      requests,
      reports,
      entryId: isFirst ? this.parts.entryId : '',
      held: isFirst ? [...this.activePlaces] : [],
      sightings: this.crashes.takeUnreported(now),
      served,
    });
    this.startWatchdog();
  }

  /** The stream to the leader; another leader knows nothing of what the one before was asked. */
  private findStream(link: RpcLink<SiteClient>): LeaderStream {
    if (this.leaderStream?.link === link) return this.leaderStream;
    this.closeStream();
    this.crashes.markUnreported();
    this.requests = [...this.waiting.values()].map(({ request }) => request);
    const stream = link.openStream<PlaceNews, PlaceDecisions>((stub) => stub.place.bind(stub), {
      take: (decisions) => {
        if (this.leaderStream?.stream === stream) this.takeDecisions(decisions);
      },
      close: (error) => {
        if (this.leaderStream?.stream === stream) this.suspendLeader(error?.message ?? 'it ended the stream');
      },
    });
    this.leaderStream = {
      link, stream, lastSent: 0, lastAsked: 0, lastAcknowledged: 0, replyDueSince: this.parts.clock.now(),
    };
    return this.leaderStream;
  }

  private takeDecisions({ acknowledged, replies }: PlaceDecisions): void {
    if (!this.leaderStream) return;
    this.leaderStream.lastAcknowledged = acknowledged;
    this.leaderStream.replyDueSince = this.parts.clock.now();
    replies.forEach((reply) => this.settle(reply));
  }

  private settle(reply: PlaceReply): void {
    const pending = this.waiting.get(reply.placeId);
    this.waiting.delete(reply.placeId);
    if (reply.code === 0) this.activePlaces.add(reply.placeId);
    if (pending) pending.resolve(reply);
    // Guards a slot that was given to a request which had chosen by itself meanwhile.
    else if (reply.code === 0) this.report({ placeId: reply.placeId, phase: 'dropped', ...NO_TIMINGS });
  }

  /** Whether the leader has something to say: what only tells it something it does not answer. */
  private isReplyDue(leaderStream: LeaderStream): boolean {
    return leaderStream.lastAcknowledged < leaderStream.lastAsked || this.waiting.size > 0;
  }

  /** Looks after the leader while it owes an answer. */
  private startWatchdog(): void {
    this.watchdog ??= setTimeout(() => {
      this.watchdog = undefined;
      // What came while this process was busy is read first: it is no silence of the leader.
      setImmediate(() => this.checkSilence());
    }, LEADER_SILENCE_MS / 2);
  }

  private checkSilence(): void {
    const { leaderStream: leaderStream } = this;
    if (!leaderStream || !this.isReplyDue(leaderStream)) return;
    const silentMs = this.parts.clock.now() - leaderStream.replyDueSince;
    if (silentMs < LEADER_SILENCE_MS) {
      this.startWatchdog();
      return;
    }
    leaderStream.stream.suspect();
    this.suspendLeader(`silent for ${Math.round(silentMs)} ms`);
  }

  private suspendLeader(reason: string): void {
    this.parts.logger.warn('requests are placed here: the leader is out of reach', { reason });
    this.suspendedUntil = this.parts.clock.now() + SUSPENSION_MS;
    this.closeStream();
    this.resolveWaiting();
  }

  private closeStream(): void {
    this.leaderStream?.stream.cancel();
    this.leaderStream = undefined;
  }

  private resolveWaiting(): void {
    const all = [...this.waiting.values()];
    this.waiting.clear();
    this.requests = [];
    all.forEach(({ resolve }) => resolve(undefined));
  }
}
