import { PlaceDecisions, PlaceReply } from '../../src/protocol/generated/beechlift';
import type { PlaceNews, SiteClient } from '../../src/protocol/generated/beechlift';
import type { RpcLink, StreamListener } from '../../src/wire/rpcLink';

/** What a leader does with a message. */
export type LeaderScript = (message: PlaceNews, leader: ScriptedLeader) => void;

/** A leader that replies by a script and records the messages that it receives. */
export class ScriptedLeader {
  readonly received: PlaceNews[] = [];

  /** Number of streams that were opened. */
  streamCount = 0;

  private listener: StreamListener<PlaceDecisions> | undefined;

  /** The same object for the whole life of this leader. */
  readonly link = {
    openStream: (unused: unknown, listener: StreamListener<PlaceDecisions>) => {
      this.listener = listener;
      this.streamCount += 1;
      return {
        write: (message: PlaceNews) => {
          this.received.push(message);
          this.script(message, this);
        },
        cancel: () => undefined,
        replaceConnection: () => undefined,
      };
    },
  } as unknown as RpcLink<SiteClient>;

  constructor(private readonly script: LeaderScript) {}

  get requestedIds(): string[][] {
    return this.received.map(({ requests }) => requests.map(({ placeId }) => placeId));
  }

  sendReply(acknowledged: number, granted: readonly string[] = []): void {
    const replies = granted.map((placeId) => PlaceReply.fromPartial({ placeId, workerId: `for-${placeId}` }));
    this.listener?.take(PlaceDecisions.fromPartial({ acknowledged, replies }));
  }

  end(): void {
    this.listener?.close(undefined);
  }
}

/** Grants every request as soon as it arrives. */
export const grantAll: LeaderScript = ({ number, requests }, leader) => {
  leader.sendReply(number, requests.map(({ placeId }) => placeId));
};
