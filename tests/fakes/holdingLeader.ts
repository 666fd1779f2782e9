import { SiteService } from '../../src/protocol/generated/beechlift';
import type {
  PlaceDecisions, PlaceNews, WatchReply, WatchRequest,
} from '../../src/protocol/generated/beechlift';
import { HeldCalls } from '../../src/utils/heldCalls';
import { handleStream, handleUnary, RpcServer } from '../../src/wire/rpcServer';
import type { ServerStream } from '../../src/wire/rpcServer';

const HOST = '127.0.0.1';
/** Interval of the keep-alive messages for held slot requests, in milliseconds. */
const KEEP_ALIVE_MS = 50;

/** A fake leader that holds all slot requests: it sends keep-alive messages, and grants no slot. */
export class HoldingLeader {
  address = '';

  private readonly server = new RpcServer('infrequent');

  private readonly held = new HeldCalls();

  private readonly keepAliveTimers = new Set<NodeJS.Timeout>();

  /** @param makeReply makes the replies to watch requests */
  constructor(private readonly makeReply: (leaderAddress: string) => WatchReply) {}

  async listen(): Promise<void> {
    this.server.add(SiteService, {
      watch: handleUnary<WatchRequest, WatchReply>((request) => this.answer(request)),
      keepWatch: handleStream((stream: ServerStream<WatchRequest, WatchReply>) => stream.listen({
        take: (request) => {
          this.answer(request)
            .then((reply) => stream.send(reply))
            .catch(() => undefined); // The stream was closed at the end of the test.
        },
        close: () => undefined,
      })),
      place: handleStream(
        (stream: ServerStream<PlaceNews, PlaceDecisions>) => this.sendKeepAlives(stream),
      ),
    });
    this.address = await this.server.listen(`${HOST}:0`);
  }

  close(): void {
    this.keepAliveTimers.forEach((keepAliveTimer) => clearInterval(keepAliveTimer));
    this.held.release();
    this.server.close();
  }

  private async answer({ documentDigest, holdMs }: WatchRequest): Promise<WatchReply> {
    if (documentDigest !== '') await this.held.hold(holdMs);
    return this.makeReply(this.address);
  }

  private sendKeepAlives(stream: ServerStream<PlaceNews, PlaceDecisions>): void {
    let acknowledged = 0;
    const keepAliveTimer = setInterval(
      () => stream.send({ acknowledged, replies: [] }),
      KEEP_ALIVE_MS,
    );
    this.keepAliveTimers.add(keepAliveTimer);
    stream.listen({
      take: ({ number }) => {
        acknowledged = number;
      },
      close: () => clearInterval(keepAliveTimer),
    });
  }
}
