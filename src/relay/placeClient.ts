import { NO_TIMINGS } from '../core/routing/placementTables';
import { computePaceDelayMs } from '../core/routing/messageIntervals';
import type { StreamOrigin } from '../core/routing/streamOrigin';
import type {
  PlaceDecisions, PlacedReport, PlaceNews, PlaceReply, PlaceRequest, SiteClient,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import { ImmediateTask } from '../utils/immediateTask';
import type { RpcLink } from '../wire/rpcLink';
import type { BegunStream } from './begunStreams';
import type { ServerCrash } from './crashRecords';
import { LeaderStream } from './leaderStream';
import { PlacementOutbox } from './placementOutbox';
import { PlacementPause } from './placementPause';
import { StreamRoute } from './streamRoute';
import type { StreamRouteParts } from './streamRoute';

/**
 * Time without an answer of the leader after which an entry places requests itself, in
 * milliseconds. The leader acknowledges a request when it has read it, and sends a keepalive every
 * 100 ms while requests wait. The target latency of a request is 400 ms or more.
 */
const LEADER_SILENCE_MS = 250;
/** Time without a message after which the stream and its connection are replaced, in ms. */
const STREAM_SILENCE_MS = 1_000;
/**
 * Longest time that the report of a stream's first event waits to share a message with others, in
 * milliseconds. The leader uses it to estimate how many prompt tokens a server has left to process.
 */
const STREAM_START_FLUSH_MS = 20;

/** Dependencies of a place client. */
export interface PlaceClientParts extends StreamRouteParts {
  /** Id of this run of the entry. */
  readonly entryId: string;
  /** Returns the connection to the control leader; undefined while none is known. */
  readonly findLeader: () => RpcLink<SiteClient> | undefined;
  /** Returns the number of entries that use the same leader. */
  readonly countEntries: () => number;
  /** Called when the leader has not answered since a time, in monotonic milliseconds. */
  readonly handleSilence?: ((since: number) => void) | undefined;
  /** Called with the address of the replica that passes a new stream on. */
  readonly handleHub?: ((address: string) => void) | undefined;
  readonly logger: Logger;
}

/** A slot request that is not decided yet. */
interface PendingPlacement {
  readonly request: PlaceRequest;
  readonly resolve: (reply: PlaceReply | undefined) => void;
}

/**
 * Asks the leader for slots at model engines and reports the progress of the requests that use
 * them, over one stream. Everything that is sent in one turn of the event loop forms one message,
 * and a waiting slot request costs nothing until it is decided. Single calls for each request and
 * report would overload the leader in a burst: it would answer late, and entries would place
 * requests themselves.
 *
 * If the leader does not answer, because it is down, hung or partitioned, the entry places requests
 * itself after a short timeout and for some time from then on.
 *
 * @example
 * const reply = await client.place(request, deadlineAt);
 * if (!reply) chooseLocally();
 */
export class PlaceClient {
  private readonly pause = new PlacementPause();

  private readonly waiting = new Map<string, PendingPlacement>();

  /** Ids of the slots that the leader has granted and that are in use. */
  private readonly activePlaceIds = new Set<string>();

  private readonly outbox = new PlacementOutbox();

  private leaderStream: LeaderStream | undefined;

  /** Connection of the latest stream. */
  private lastLink: RpcLink<SiteClient> | undefined;

  private readonly flushTask = new ImmediateTask(() => this.flush());

  private flushTimer: NodeJS.Timeout | undefined;

  /** When the waiting reports are sent, monotonic milliseconds. */
  private flushAt = 0;

  private watchdog: NodeJS.Timeout | undefined;

  private readonly route: StreamRoute;

  constructor(private readonly parts: PlaceClientParts) {
    this.route = new StreamRoute(parts);
  }

  /** Resolves with the leader's decision, or with undefined if the leader cannot be reached. */
  place(request: PlaceRequest, deadlineAt: number): Promise<PlaceReply | undefined> {
    const now = this.parts.clock.now();
    const link = this.findTarget();
    if (!link || this.isPaused(link, now) || now >= deadlineAt) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      this.waiting.set(request.placeId, { request, resolve });
      this.outbox.addRequest(request);
      this.flushTask.schedule();
    });
  }

  /** Cancels a slot request that is no longer needed. */
  cancel(placeId: string): void {
    const pending = this.waiting.get(placeId);
    if (!pending) return;
    this.waiting.delete(placeId);
    this.report({ placeId, phase: 'unused', ...NO_TIMINGS });
    pending.resolve(undefined);
  }

  /**
   * Reports the progress of a request. The end is sent at once: others wait for the slot. So is the
   * begin of a stream that can be taken up.
   */
  report(report: PlacedReport): void {
    if (report.phase !== 'running') this.removeGranted(report.placeId);
    this.outbox.addReport(report);
    const isStreamStart = this.leaderStream?.startingIds.delete(report.placeId) ?? false;
    if (report.phase !== 'running' || isStreamStart) this.flushTask.schedule();
    else if (report.paceMs === 0) this.scheduleFlush(STREAM_START_FLUSH_MS);
    else this.scheduleFlush(computePaceDelayMs(this.parts.countEntries()));
  }

  /** Reports that a server crashed while it ran a request. */
  reportCrash(crash: ServerCrash): void {
    this.outbox.crashes.add(crash, this.parts.clock.now());
    this.flushTask.schedule();
  }

  /** Whether this entry has recently seen a server crash while it ran any request. */
  get hasCrashes(): boolean {
    return this.outbox.crashes.hasCrashes(this.parts.clock.now());
  }

  /** Counts the servers that this entry has recently seen crash while they ran a request. */
  countCrashes(fingerprint: string): number {
    return this.outbox.crashes.countServers(fingerprint, this.parts.clock.now());
  }

  /** Reports that a request was served although a server had crashed while running it. */
  reportServed(fingerprint: string): void {
    this.outbox.addServed(fingerprint);
    this.flushTask.schedule();
  }

  /**
   * Records which version began a stream. The leader learns it at once, so that it knows it if this
   * process is killed: from this report, or from the next one on a slot that it granted.
   */
  recordStream(stream: BegunStream, placeId: string): void {
    const isGranted = this.leaderStream?.grantedIds.has(placeId) ?? false;
    this.outbox.streams.add(stream, isGranted);
    if (isGranted) this.leaderStream?.startingIds.add(placeId);
    else this.flushTask.schedule();
  }

  /** Finds the version that began a stream of this entry; undefined if another entry began it. */
  findOrigin(id: string): StreamOrigin | undefined {
    return this.outbox.streams.find(id, this.parts.clock.now());
  }

  /** Tells a new leader which streams this entry began, even if there is nothing else to tell. */
  reportStreams(): void {
    const link = this.parts.findLeader();
    const isNew = link !== undefined && link !== this.leaderStream?.link;
    if (isNew && this.outbox.streams.size > 0) this.flushTask.schedule();
  }

  /** Ends the stream. */
  close(): void {
    this.closeStream();
    this.resolveWaiting();
  }

  /** Returns the leader; while none is known, a replica between may go on without one. */
  private findTarget(): RpcLink<SiteClient> | undefined {
    const { leaderStream } = this;
    return this.parts.findLeader() ?? (leaderStream?.isPassedOn ? leaderStream.link : undefined);
  }

  /** Whether this leader was late; the pause for an earlier one does not apply to it. */
  private isPaused(link: RpcLink<SiteClient>, now: number): boolean {
    return link === this.lastLink && this.pause.isActive(now);
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
    const link = this.findTarget();
    const now = this.parts.clock.now();
    if (!link || (!this.leaderStream && this.isPaused(link, now))) {
      this.resolveWaiting();
      return;
    }
    const leaderStream = this.findStream(link);
    if (this.outbox.isEmpty) return;
    const content = this.outbox.take(now);
    const isFirst = leaderStream.lastSent === 0;
    if (!this.isReplyDue(leaderStream)) leaderStream.replyDueSince = now;
    leaderStream.lastSent += 1;
    if (content.requests.length > 0) leaderStream.openMessages.add(leaderStream.lastSent, now);
    leaderStream.stream.write({
      ...content,
      number: leaderStream.lastSent,
      entryId: isFirst ? this.parts.entryId : '',
      held: isFirst ? [...this.activePlaceIds] : [],
      leaderAddress: isFirst && leaderStream.isPassedOn ? link.address : '',
    });
    this.startWatchdog();
  }

  /** Returns the stream to the leader. A new leader is sent all pending requests and crashes. */
  private findStream(link: RpcLink<SiteClient>): LeaderStream {
    const hub = this.route.findHub();
    // A stream that goes directly is replaced as soon as there is a hub again.
    const isUsable = this.leaderStream?.isPassedOn === true || hub === undefined;
    if (this.leaderStream?.link === link && isUsable) return this.leaderStream;
    if (this.lastLink !== link) this.pause.reset();
    this.lastLink = link;
    this.closeStream();
    this.outbox.markUnreported();
    this.outbox.setRequests([...this.waiting.values()].map(({ request }) => request));
    const isPassedOn = hub !== undefined;
    if (hub) this.parts.handleHub?.(hub.address);
    const stream = (hub ?? link).openStream<PlaceNews, PlaceDecisions>((stub) => (
      stub.place.bind(stub)), {
      take: (decisions) => {
        if (this.leaderStream?.stream === stream) this.takeDecisions(decisions);
      },
      close: (error) => {
        if (this.leaderStream?.stream !== stream) return;
        if (error && isPassedOn) this.suspendHub(error.message);
        else this.suspendLeader(error?.message ?? 'the leader ended the stream');
      },
    });
    this.leaderStream = new LeaderStream({
      link, isPassedOn, stream, openedAt: this.parts.clock.now(),
    });
    return this.leaderStream;
  }

  private takeDecisions({ acknowledged, replies }: PlaceDecisions): void {
    const { leaderStream } = this;
    if (!leaderStream) return;
    const now = this.parts.clock.now();
    const delayMs = leaderStream.recordMessage(acknowledged, now);
    this.pause.recordMessage(now, delayMs < LEADER_SILENCE_MS);
    replies.forEach((reply) => this.settle(reply));
  }

  private settle(reply: PlaceReply): void {
    const pending = this.waiting.get(reply.placeId);
    this.waiting.delete(reply.placeId);
    if (reply.undecided) {
      pending?.resolve(undefined);
      return;
    }
    if (reply.code === 0) this.addGranted(reply);
    if (pending) pending.resolve(reply);
    // The request was placed by this entry or cancelled meanwhile: its slot must be released.
    else if (reply.code === 0) this.report({ placeId: reply.placeId, phase: 'unused', ...NO_TIMINGS });
  }

  private addGranted({ placeId, delegated }: PlaceReply): void {
    this.activePlaceIds.add(placeId);
    if (!delegated) this.leaderStream?.grantedIds.add(placeId);
  }

  private removeGranted(placeId: string): void {
    this.activePlaceIds.delete(placeId);
    this.leaderStream?.removeGranted(placeId);
  }

  /** Whether a reply of the leader is due: it replies to slot requests only, not to reports. */
  private isReplyDue(leaderStream: LeaderStream): boolean {
    return leaderStream.openMessages.size > 0 || this.waiting.size > 0;
  }

  /** Schedules a check whether the leader has timed out. */
  private startWatchdog(): void {
    this.watchdog ??= setTimeout(() => {
      this.watchdog = undefined;
      // Input that arrived while this process was busy is read first, so that it counts.
      setImmediate(() => this.checkSilence());
    }, LEADER_SILENCE_MS / 2);
  }

  private checkSilence(): void {
    const { leaderStream } = this;
    if (!leaderStream || !this.isReplyDue(leaderStream)) return;
    const now = this.parts.clock.now();
    const silentMs = leaderStream.measureSilence(now);
    if (silentMs >= STREAM_SILENCE_MS) {
      leaderStream.stream.replaceConnection();
      const reason = `no message for ${Math.round(silentMs)} ms`;
      if (leaderStream.isPassedOn) this.suspendHub(reason);
      else this.suspendLeader(reason);
      return;
    }
    const lateMs = leaderStream.measureLateness(now);
    if (lateMs >= LEADER_SILENCE_MS) this.handleLateness(lateMs);
    this.startWatchdog();
  }

  /*
   * Places the waiting requests at this entry. The stream stays open: a slow leader would have to
   * accept another one, which makes it slower. Slots that it grants late are released.
   */
  private handleLateness(lateMs: number): void {
    const now = this.parts.clock.now();
    if (this.pause.isActive(now)) return;
    this.parts.logger.warn('control leader is slow, this entry places requests itself', { lateMs: Math.round(lateMs) });
    this.pause.begin(now);
    this.parts.handleSilence?.(now - lateMs);
    [...this.waiting.keys()].forEach((placeId) => this.cancel(placeId));
  }

  /** Asks the leader directly, as the replica that passes the stream on may be at fault. */
  private suspendHub(reason: string): void {
    this.parts.logger.warn('replica passes no placement messages on, using the leader directly', { reason });
    this.route.recordFailure();
    this.pause.reset();
    this.closeStream();
    this.flushTask.schedule();
  }

  private suspendLeader(reason: string): void {
    this.parts.logger.warn('control leader is unreachable, this entry places requests itself', { reason });
    if (this.leaderStream?.isPassedOn) this.route.recordEnd();
    this.pause.beginShort(this.parts.clock.now());
    this.parts.handleSilence?.(this.parts.clock.now());
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
    this.outbox.setRequests([]);
    all.forEach(({ resolve }) => resolve(undefined));
  }
}
