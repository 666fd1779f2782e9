import { PlaceReply } from '../protocol/generated/beechlift';
import type { PlaceDecisions, PlacedReport, PlaceNews } from '../protocol/generated/beechlift';
import type { Clock } from '../utils/clock';
import type { PlacementDelegate } from './placementDelegate';
import { PlacementStream } from './placementStream';
import type { PlacementMessageHandlers, PlacementSink, StreamEnd } from './placementStream';

/**
 * Time without a message of the leader after which the requests that were passed on are left to
 * their entry, in milliseconds: less than that in which the entry would give this replica up.
 */
const LEADER_SILENCE_MS = 200;

/** Counts what a message tells beside slot requests. */
const countNews = ({
  reports, sightings, served, origins,
}: PlaceNews): number => reports.length + sightings.length + served.length + origins.length;

/** Dependencies of a delegated stream. */
export interface DelegatedStreamParts {
  /** Sends to the entry. */
  readonly sink: PlacementSink;
  readonly delegate: PlacementDelegate;
  /** Opens a placement stream of the entry at the leader. */
  readonly openUpstream: (sink: PlacementSink) => PlacementMessageHandlers;
  readonly clock: Clock;
}

/**
 * The placement stream of an entry at a replica that grants slots for the leader. What the replica
 * may decide, it decides; the rest goes on to the leader. A leader that is late holds up only what
 * it was asked.
 *
 * @example
 * stream.listen(new DelegatedStream(parts));
 */
export class DelegatedStream implements PlacementMessageHandlers {
  /** Sends decisions to the entry, those of the leader too. */
  readonly placementStream: PlacementStream;

  private upstream: PlacementMessageHandlers | undefined;

  /** Requests that the leader has not decided on, and when they were passed on. */
  private readonly passedOn = new Map<string, number>();

  /** Slots that the leader granted over this stream and that are in use. */
  private readonly leaderIds = new Set<string>();

  /** When the leader sent the last message, monotonic milliseconds. */
  private leaderHeardAt = -Infinity;

  private isClosed = false;

  constructor(private readonly parts: DelegatedStreamParts) {
    this.placementStream = new PlacementStream(parts.sink, parts.clock);
  }

  /** Id of the entry; empty before its first message. */
  get entryId(): string {
    return this.placementStream.entryId;
  }

  /** Handles a message of the entry. */
  readonly take = (message: PlaceNews): void => {
    if (this.isClosed) return;
    if (message.entryId !== '') this.begin(message);
    const { delegate } = this.parts;
    const { own, others } = delegate.split(message);
    this.placementStream.acknowledge(message.number, message.requests.length > 0);
    if (others) this.forward(others);
    delegate.handle(own, this.placementStream);
  };

  /** Ends the stream, or handles that the entry has ended it. */
  readonly close = (): void => {
    if (this.isClosed) return;
    this.isClosed = true;
    this.upstream?.close();
    this.parts.delegate.closeStream(this);
  };

  /** Leaves what the leader does not answer in time to the entry; runs on a timer. */
  checkLeader(): void {
    if (this.passedOn.size === 0) return;
    const now = this.parts.clock.now();
    const isLate = [...this.passedOn.values()]
      .some((at) => now - Math.max(at, this.leaderHeardAt) >= LEADER_SILENCE_MS);
    if (isLate) {
      this.parts.delegate.recordLateLeader();
      this.giveUp([...this.passedOn.keys()]);
    } else {
      this.placementStream.keepAlive();
    }
  }

  private begin({ entryId, held }: PlaceNews): void {
    this.placementStream.entryId = entryId;
    this.parts.delegate.openStream(this, held);
  }

  private forward(message: PlaceNews): void {
    this.forgetEnded(message.reports);
    const placeIds = message.requests.map(({ placeId }) => placeId);
    if (this.parts.delegate.isLeaderLate && message.entryId === '') {
      if (countNews(message) > 0) this.send({ ...message, requests: [] });
      this.giveUp(placeIds);
      return;
    }
    this.send(message);
    const now = this.parts.clock.now();
    placeIds.forEach((id) => this.passedOn.set(id, now));
  }

  private forgetEnded(reports: readonly PlacedReport[]): void {
    reports.filter(({ phase }) => phase !== 'running').forEach(({ placeId }) => {
      this.passedOn.delete(placeId);
      this.leaderIds.delete(placeId);
    });
  }

  /** Sends to the leader; a stream that was lost is begun again with the slots that are held. */
  private send(message: PlaceNews): void {
    if (this.upstream) {
      this.upstream.take(message);
      return;
    }
    this.upstream = this.parts.openUpstream({
      send: (decisions) => this.takeDecisions(decisions),
      end: (reason) => this.handleUpstreamEnd(reason),
    });
    const held = message.entryId === '' ? [...this.leaderIds] : message.held;
    this.upstream.take({ ...message, entryId: this.entryId, held });
  }

  private takeDecisions({ replies }: PlaceDecisions): void {
    this.leaderHeardAt = this.parts.clock.now();
    replies.forEach((reply) => {
      this.passedOn.delete(reply.placeId);
      if (reply.code === 0) this.leaderIds.add(reply.placeId);
      this.placementStream.add(reply);
    });
  }

  /*
   * A leader that cannot be reached does not end what this replica decides. One that ends the
   * stream knows a newer one of the entry.
   */
  private handleUpstreamEnd(reason: StreamEnd = 'ended'): void {
    const { delegate } = this.parts;
    this.upstream = undefined;
    this.giveUp([...this.passedOn.keys()]);
    if (reason === 'ended' || !delegate.isActive) this.close();
    else delegate.recordLateLeader();
  }

  private giveUp(placeIds: readonly string[]): void {
    placeIds.forEach((placeId) => {
      this.passedOn.delete(placeId);
      this.placementStream.add(PlaceReply.fromPartial({ placeId, undecided: true }));
    });
    this.parts.delegate.countUndecided(placeIds.length);
  }
}
