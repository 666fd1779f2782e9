import type { PlaceNews, SiteClient } from '../protocol/generated/beechlift';
import type { ClientStream, RpcLink } from '../wire/rpcLink';
import { OpenMessages } from './openMessages';

/** Parts of a stream that was opened. */
export interface LeaderStreamParts {
  /** Connection to the leader. */
  readonly link: RpcLink<SiteClient>;
  /** Whether another replica passes the stream on to the leader. */
  readonly isPassedOn: boolean;
  readonly stream: ClientStream<PlaceNews>;
  /** When it was opened, monotonic milliseconds. */
  readonly openedAt: number;
}

/**
 * The placement stream to one leader, and what this leader granted and has not acknowledged.
 *
 * @example
 * leaderStream.startingIds.add(placeId); // its first event is reported at once
 */
export class LeaderStream {
  readonly link: RpcLink<SiteClient>;

  readonly isPassedOn: boolean;

  readonly stream: ClientStream<PlaceNews>;

  /** Number of the last message that was sent. */
  lastSent = 0;

  /** Slots that this leader granted and that are in use. */
  readonly grantedIds = new Set<string>();

  /** Those whose streams have begun, and whose first events were not reported. */
  readonly startingIds = new Set<string>();

  /** Messages with slot requests that the leader has not acknowledged. */
  readonly openMessages = new OpenMessages();

  /** Time since which a reply is due, monotonic milliseconds. */
  replyDueSince: number;

  constructor({
    link, isPassedOn, stream, openedAt,
  }: LeaderStreamParts) {
    this.link = link;
    this.isPassedOn = isPassedOn;
    this.stream = stream;
    this.replyDueSince = openedAt;
  }

  /** Forgets a slot that is no longer in use. */
  removeGranted(placeId: string): void {
    this.grantedIds.delete(placeId);
    this.startingIds.delete(placeId);
  }

  /** Records that the leader sent a message; returns how long it took, in milliseconds. */
  recordMessage(acknowledged: number, now: number): number {
    this.replyDueSince = now;
    return this.openMessages.acknowledge(acknowledged, now);
  }

  /** Time since which the leader has sent nothing although a reply is due, in milliseconds. */
  measureSilence(now: number): number {
    return now - this.replyDueSince;
  }

  /** How late the leader is, in milliseconds: silent, or behind with what it was sent. */
  measureLateness(now: number): number {
    return Math.max(this.openMessages.measureOldest(now), this.measureSilence(now));
  }
}
