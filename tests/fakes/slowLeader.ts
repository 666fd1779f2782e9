import { setTimeout as pause } from 'node:timers/promises';
import { SiteService, WatchReply } from '../../src/protocol/generated/beechlift';
import type { WatchRequest } from '../../src/protocol/generated/beechlift';
import { handleStream, handleUnary, RpcServer } from '../../src/wire/rpcServer';
import type { ServerStream } from '../../src/wire/rpcServer';

const HOST = '127.0.0.1';
/** Lease that the leader grants, in milliseconds. */
const LEASE_MS = 2_300;
/** Size of the site that the leader names; entries derive their timeouts from it. */
const ENTRIES = 8;

/** A fake leader that answers each watch request after a fixed time, however it was asked. */
export class SlowLeader {
  address = '';

  /** Number of replies whose client had given up the request. */
  unreadCount = 0;

  /** Number of watch requests. */
  requestCount = 0;

  private readonly server = new RpcServer('infrequent');

  constructor(private readonly delayMs: number) {}

  async listen(): Promise<void> {
    this.server.add(SiteService, {
      watch: handleUnary<WatchRequest, WatchReply>(async (request, { onCancel }) => {
        let isCancelled = false;
        onCancel(() => {
          isCancelled = true;
        });
        return this.answer(() => isCancelled);
      }),
      keepWatch: handleStream((stream: ServerStream<WatchRequest, WatchReply>) => {
        let isClosed = false;
        stream.listen({
          take: () => {
            this.answer(() => isClosed)
              .then((reply) => stream.send(reply))
              .catch(() => undefined); // The stream was closed at the end of the test.
          },
          close: () => {
            isClosed = true;
          },
        });
      }),
    });
    this.address = await this.server.listen(`${HOST}:0`);
  }

  close(): void {
    this.server.close();
  }

  private async answer(isAbandoned: () => boolean): Promise<WatchReply> {
    this.requestCount += 1;
    await pause(this.delayMs);
    if (isAbandoned()) this.unreadCount += 1;
    return WatchReply.fromPartial({
      leaseMs: LEASE_MS,
      leaderAddress: this.address,
      controlAddresses: [this.address],
      documentDigest: 'd',
      documentVersion: '1',
      document: 'd',
      workersEpoch: 'e',
      entryCount: ENTRIES,
    });
  }
}
