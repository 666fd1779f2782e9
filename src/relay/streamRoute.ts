import type { SiteClient } from '../protocol/generated/beechlift';
import type { Clock } from '../utils/clock';
import type { RpcLink } from '../wire/rpcLink';

/** Time for which the stream goes directly to the leader after a hub has failed, in ms. */
const DIRECT_MS = 3_000;

/** Dependencies of a route. */
export interface StreamRouteParts {
  /** Returns the connection to a replica that passes the stream on; undefined if none should. */
  readonly findHub?: (() => RpcLink<SiteClient> | undefined) | undefined;
  /** Called when a stream that a replica passed on has ended, so that another one is used next. */
  readonly changeHub?: (() => void) | undefined;
  readonly clock: Clock;
}

/**
 * The way of an entry's placement stream to the leader: directly, or through a hub.
 *
 * @example
 * const hub = route.findHub();
 * const stream = (hub ?? leader).openStream(…);
 */
export class StreamRoute {
  /** Until when the stream goes directly to the leader, monotonic milliseconds. */
  private directUntil = -Infinity;

  constructor(private readonly parts: StreamRouteParts) {}

  /** Returns the connection to a hub; undefined if the stream is to go directly to the leader. */
  findHub(): RpcLink<SiteClient> | undefined {
    const { clock, findHub } = this.parts;
    return clock.now() < this.directUntil ? undefined : findHub?.();
  }

  /** Records that the hub told of the stream's end: it may be the one that reaches no leader. */
  recordEnd(): void {
    this.parts.changeHub?.();
  }

  /** Records that the hub failed: for some time the stream goes directly to the leader. */
  recordFailure(): void {
    this.directUntil = this.parts.clock.now() + DIRECT_MS;
    this.parts.changeHub?.();
  }
}
