import { SiteService, WatchReply } from '../../src/protocol/generated/beechlift';
import type { WatchRequest } from '../../src/protocol/generated/beechlift';
import { HeldCalls } from '../../src/utils/heldCalls';
import { handleStream, handleUnary, RpcServer } from '../../src/wire/rpcServer';
import type { ServerStream } from '../../src/wire/rpcServer';
import { SilentProxy } from './silentProxy';

const HOST = '127.0.0.1';
const REPLICAS = 5;
/** Lease that the fake leader grants, in milliseconds. */
export const LEASE_MS = 2_300;

/** Fake replicas that hold a watch request until a leader is set, at most for its `holdMs`. */
export class FakeReplicas {
  /** Number of watch requests that all replicas received. */
  watchRequestCount = 0;

  /** `holdMs` of the latest watch request. */
  holdMs = 0;

  private readonly servers: RpcServer[] = [];

  private readonly held = new HeldCalls();

  private leader = '';

  addresses: string[] = [];

  /** One proxy for each replica, in no particular order. */
  readonly proxies: SilentProxy[] = [];

  /** Counts the chunks that passed between the entry and all replicas. */
  countChunks(): number {
    return this.proxies.reduce((sum, { chunkCount }) => sum + chunkCount, 0);
  }

  async listen(): Promise<void> {
    this.addresses = await Promise.all(Array.from({ length: REPLICAS }, () => this.serve()));
  }

  setLeader(position: number): void {
    this.leader = this.addresses[position] ?? '';
    this.held.release();
  }

  close(): void {
    this.held.release();
    this.servers.forEach((server) => server.close());
    this.proxies.forEach((proxy) => proxy.stop());
  }

  private async serve(): Promise<string> {
    const server = new RpcServer('infrequent');
    this.servers.push(server);
    let own = '';
    const answer = async ({ holdMs }: WatchRequest): Promise<WatchReply> => {
      this.watchRequestCount += 1;
      this.holdMs = holdMs;
      if (this.leader === '') await this.held.hold(holdMs);
      const isLeading = this.leader === own;
      return WatchReply.fromPartial({
        leaseMs: isLeading ? LEASE_MS : 0,
        leaderAddress: this.leader,
        controlAddresses: this.addresses,
        ...(isLeading ? {
          documentDigest: 'd', documentVersion: '1', document: 'd', workersEpoch: 'e', entryCount: 200,
        } : {}),
      });
    };
    server.add(SiteService, {
      watch: handleUnary<WatchRequest, WatchReply>(answer),
      keepWatch: handleStream((stream: ServerStream<WatchRequest, WatchReply>) => stream.listen({
        take: (request) => {
          // Like the real leader: a client without the document gets a reply at once.
          const isHeld = request.documentDigest !== '';
          (isHeld ? this.held.hold(request.holdMs) : Promise.resolve())
            .then(() => answer(request))
            .then((reply) => stream.send(reply))
            .catch(() => undefined); // The stream was closed at the end of the test.
        },
        close: () => undefined,
      })),
    });
    const direct = await server.listen(`${HOST}:0`);
    const proxy = new SilentProxy(direct);
    this.proxies.push(proxy);
    await proxy.start();
    own = proxy.address;
    return own;
  }
}
