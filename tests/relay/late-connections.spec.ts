import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { openNetworkSocket } from '../../src/relay/workerConnection';
import type { Connector } from '../../src/relay/workerConnection';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const REQUEST = 'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\ncontent-length: 0\r\n\r\n';

const LEASE_GAP_MS = 100;

const serve: ServerScript = (socket) => sendAnswer(socket, 'r1', 'served');

describe('a request that waits for a connection to its server', () => {
  let rig: RelayRig | undefined;

  /** Starts an entry with two servers; `onFirst` runs once the first connection is open. */
  const start = async (
    onFirst: (started: RelayRig, address: string) => void,
  ): Promise<RelayRig> => {
    const opened: string[] = [];
    const openSocket: Connector = (options, callback) => openNetworkSocket(options, (...result) => {
      opened.push(`${options.hostname}:${options.port}`);
      if (rig && opened.length === 1) onFirst(rig, opened[0] ?? '');
      callback(...result);
    });
    const routing = makeRouting({ routes: [makeRoute({ kind: 'nonIdempotent' })] });
    rig = await RelayRig.start(routing, [serve, serve], [], openSocket);
    return rig;
  };

  afterEach(async () => {
    await rig?.close();
    rig = undefined;
    vi.restoreAllMocks();
  });

  // A server got a request after it had left: the entry had learned that while its connection to
  // the server opened.
  it.each(['draining', 'gone'] as const)('should be sent to another server if that one is %s by then', async (standing) => {
    const left: string[] = [];
    const started = await start(({ site }, address) => {
      left.push(address);
      const worker = [...site.workers.byId.values()].find((other) => other.address === address);
      Object.assign(worker ?? {}, { standing });
    });
    expect(await started.send(REQUEST, 500)).toContain('served');
    const counts = [0, 1].map((position) => started.findServer(position))
      .map(({ address, requests }) => [left.includes(address), requests.length]);
    expect(counts.sort()).toEqual([[false, 1], [true, 0]]);
  });

  // A lease ended while the connection opened. Without one, the entry may have missed that its
  // server has left.
  it('should not be sent before the entry has a lease again', async () => {
    const sentAt: number[] = [];
    let leasedAt = 0;
    const started = await start(({ site }) => {
      const isServing = vi.spyOn(site, 'isServing', 'get').mockReturnValue(false);
      vi.spyOn(site, 'waitServing').mockImplementation(async () => {
        await new Promise((resolve) => {
          setTimeout(resolve, LEASE_GAP_MS);
        });
        isServing.mockReturnValue(true);
        leasedAt = performance.now();
      });
      setTimeout(() => sentAt.push(started.received.length), LEASE_GAP_MS / 2);
    });
    expect(await started.send(REQUEST, 500)).toContain('served');
    expect([sentAt, leasedAt > 0, started.received.length]).toEqual([[0], true, 1]);
  });
});
