import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate as readPendingInput } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { startRoutedControl } from '../../src/control/routedControl';
import type { RunningRoutedControl } from '../../src/control/routedControl';
import { StepReceiver } from '../../src/control/stepReceiver';
import { StepStream } from '../../src/control/stepStream';
import { LogMessage, SiteClient, SiteService } from '../../src/protocol/generated/beechlift';
import type { MeetReply, StepCount } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import { RpcLink } from '../../src/wire/rpcLink';
import type { StreamListener } from '../../src/wire/rpcLink';
import { handleStream, handleUnary, RpcServer } from '../../src/wire/rpcServer';
import { readRouting, waitFor } from '../fakes/controlSite';
import { findFreeAddress } from '../fakes/freeAddress';
import { SilentProxy } from '../fakes/silentProxy';

const HOST = '127.0.0.1';
const makeMessage = (round: number): LogMessage => LogMessage.fromPartial({ kind: 'append', round });

describe('log messages between replicas', () => {
  let server: RpcServer;
  let rounds: number[] = [];
  let streamCount = 0;
  let callCount = 0;
  let countMessages = 0;
  let isReading = true;

  const serve = (others: Record<string, unknown>): void => {
    server.add(SiteService, {
      keepStepping: handleStream<LogMessage, StepCount>((stream) => {
        streamCount += 1;
        stream.listen(new StepReceiver(
          {
            send: (count) => {
              countMessages += 1;
              if (isReading) stream.send(count);
            },
          },
          ({ round }) => rounds.push(round),
        ));
      }),
      ...others,
    });
  };

  beforeEach(() => {
    server = new RpcServer();
    rounds = [];
    streamCount = 0;
    callCount = 0;
    countMessages = 0;
    isReading = true;
  });
  afterEach(() => server.close());

  describe('of a replica that looks for a leader', () => {
    let control: RunningRoutedControl | undefined;
    let folder = '';

    beforeEach(async () => {
      folder = await mkdtemp(join(tmpdir(), 'steps-'));
    });
    afterEach(async () => {
      await control?.stop();
      await rm(folder, { recursive: true, force: true });
    });

    // Heartbeats as calls of their own took 40 % of the processor time of a leader without entries.
    it('should share one stream', async () => {
      const [own, other] = [await findFreeAddress(), await findFreeAddress()];
      const self = { id: 'other', address: other, zone: 'a' };
      serve({
        step: handleUnary<LogMessage, object>(() => {
          callCount += 1;
          return {};
        }),
        meet: handleUnary<object, MeetReply>(() => ({
          self, founded: false, founders: [], leaderAddress: '',
        })),
      });
      await server.listen(other);
      control = await startRoutedControl({
        settings: {
          zone: 'a',
          address: own,
          readSeeds: () => [own, other],
          isFirstStart: true,
          dataFolder: folder,
          bounds: { revokeMs: 5_000, applyMs: 5_000 },
          voterCount: 2,
          limitSlack: 1_000,
        },
        readRouting,
        logger: makeLogger('control', 'silent'),
        failStorage: () => undefined,
      });
      await waitFor(() => rounds.length + callCount >= 5, 'five pre-votes');
      expect({ callCount, streamCount }).toEqual({ callCount: 0, streamCount: 1 });
    });
  });

  describe('of a replica that stood still', () => {
    const sent: (readonly [stream: number, round: number])[] = [];
    let listeners: StreamListener<StepCount>[] = [];
    let replaceCount = 0;
    let now = 0;
    let stepStream: StepStream;

    const link = {
      openStream: (unused: unknown, listener: StreamListener<StepCount>) => {
        listeners.push(listener);
        const position = listeners.length;
        return {
          write: ({ round }: LogMessage) => sent.push([position, round]),
          cancel: () => undefined,
          replaceConnection: () => {
            replaceCount += 1;
          },
        };
      },
    } as unknown as RpcLink<SiteClient>;

    beforeEach(() => {
      sent.length = 0;
      listeners = [];
      replaceCount = 0;
      now = 0;
      stepStream = new StepStream(link, { now: () => now });
    });

    // A leader that had stood still gave up its connections to all replicas, with what was on its
    // way on them, although the counts had arrived: timers run before input is read.
    it('should use its stream on if a count is waiting to be read', async () => {
      stepStream.send(makeMessage(1));
      now += 5_000;
      setImmediate(() => listeners[0]?.take({ received: 1 }));
      [2, 3].forEach((round) => stepStream.send(makeMessage(round)));
      await readPendingInput();
      expect([replaceCount, sent]).toEqual([0, [[1, 1], [1, 2], [1, 3]]]);
    });

    it('should use a new connection, once, if there is none', async () => {
      stepStream.send(makeMessage(1));
      now += 5_000;
      [2, 3].forEach((round) => stepStream.send(makeMessage(round)));
      await readPendingInput();
      expect([replaceCount, sent]).toEqual([1, [[1, 1], [2, 2], [2, 3]]]);
    });
  });

  describe('on a kept stream', () => {
    let link: RpcLink<SiteClient>;
    let proxy: SilentProxy;
    let direct = '';
    let now = 0;
    let clockReads = 0;
    let stepStream: StepStream;

    beforeEach(async () => {
      serve({});
      direct = await server.listen(`${HOST}:0`);
      proxy = new SilentProxy(direct);
      await proxy.start();
      link = new RpcLink(SiteClient, proxy.address);
      // Whole milliseconds: sums of fractions would be rounded.
      now = Math.round(systemClock.now());
      clockReads = 0;
      stepStream = new StepStream(link, {
        now: () => {
          clockReads += 1;
          return now;
        },
      });
    });
    afterEach(() => {
      link.close();
      proxy.stop();
    });

    // A count for each message would cost as much as the replies to calls did.
    it('should be counted for many messages at once', async () => {
      Array.from({ length: 48 }, (_, round) => stepStream.send(makeMessage(round)));
      await waitFor(() => rounds.length === 48, '48 messages');
      expect(rounds).toEqual(Array.from({ length: 48 }, (_, round) => round));
      expect(countMessages).toBeLessThanOrEqual(4);
    });

    // A connection that something between both ends has dropped must be replaced within a second.
    it('should use a new connection if no count arrives for a second', async () => {
      stepStream.send(makeMessage(1));
      await waitFor(() => clockReads === 2, 'the first count to be read');
      proxy.dropTraffic();
      now += 200;
      stepStream.send(makeMessage(2));
      now += 999;
      stepStream.send(makeMessage(3));
      now += 1;
      stepStream.send(makeMessage(4));
      await waitFor(() => rounds.includes(4), 'a message on a new connection');
      expect(rounds).toEqual([1, 4]);
      expect(proxy.connectionCount).toBe(2);
    });

    // A message whose write to disk ended during the shutdown threw, and the log took that for a
    // failure of its disk.
    it('should be dropped once the connections are closed', () => {
      link.close();
      expect(() => stepStream.send(makeMessage(1))).not.toThrow();
    });

    // A stream on which nothing was sent for long is not a dead one.
    it('should keep the connection after a pause without messages', async () => {
      stepStream.send(makeMessage(1));
      await waitFor(() => clockReads === 2, 'the first count to be read');
      now += 60_000;
      stepStream.send(makeMessage(2));
      await waitFor(() => rounds.length === 2, 'the second message');
      expect({ streamCount, connections: proxy.connectionCount })
        .toEqual({ streamCount: 1, connections: 1 });
    });

    // Guards the memory of a leader against a replica that accepts connections and does not read.
    it('should drop messages while too many are on their way', async () => {
      isReading = false;
      Array.from({ length: 100 }, (_, round) => stepStream.send(makeMessage(round)));
      await waitFor(() => rounds.length >= 64, '64 messages');
      expect(rounds.length).toBe(64);
    });

    // A replica that was restarted must get the next message, without a wait.
    it('should open a new stream after the replica has ended the last one', async () => {
      stepStream.send(makeMessage(1));
      await waitFor(() => rounds.length === 1, 'the first message');
      server.close();
      server = new RpcServer();
      serve({});
      await server.listen(direct);
      await waitFor(() => {
        stepStream.send(makeMessage(2));
        return rounds.includes(2);
      }, 'a message on a new stream');
      expect(streamCount).toBe(2);
    });
  });
});
