import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
  PlaceDecisions, PlaceNews as PlaceNewsCodec, SiteClient, SiteService, WatchReply, WatchRequest,
} from '../../src/protocol/generated/beechlift';
import type { PlaceNews } from '../../src/protocol/generated/beechlift';
import { Operation } from '../../src/utils/operation';
import { RpcLink } from '../../src/wire/rpcLink';
import { handleStream, handleUnary, RpcServer } from '../../src/wire/rpcServer';
import type { ServerStream } from '../../src/wire/rpcServer';
import { findFreeAddress } from '../fakes/freeAddress';
import { SilentProxy } from '../fakes/silentProxy';

const ANSWER_MS = 300;
/** Longer than the interval between pings. */
const SLOW_ANSWER_MS = 2_500;
const CALL_TIMEOUT_MS = 10_000;
const RETRY_MS = 20;

const answerAtOnce = handleUnary<WatchRequest, WatchReply>(() => (
  WatchReply.fromPartial({ leaseMs: 7 })));

describe('a link to a peer', () => {
  let server: RpcServer;
  let link: RpcLink<SiteClient> | undefined;
  let proxy: SilentProxy | undefined;

  /** Calls the peer until it answers, or until `maxMs` are over; resolves with whether it did. */
  const askUntilAnswered = async (timeoutMs: number, maxMs: number): Promise<boolean> => {
    if (maxMs <= 0) return false;
    const startedAt = performance.now();
    const isAnswered = await (link as RpcLink<SiteClient>).call<WatchRequest, WatchReply>(
      (stub) => stub.watch.bind(stub),
      WatchRequest.fromPartial({}),
      new Operation({ timeoutMs }),
    ).then(() => true, () => pause(RETRY_MS, false));
    return isAnswered || askUntilAnswered(timeoutMs, maxMs - (performance.now() - startedAt));
  };

  /** Connects to the server through a proxy that can delay and drop traffic. */
  const openProxied = async (): Promise<SilentProxy> => {
    proxy = new SilentProxy(await server.listen('127.0.0.1:0'));
    await proxy.start();
    link = new RpcLink(SiteClient, proxy.address);
    return proxy;
  };

  beforeEach(() => {
    server = new RpcServer();
  });
  afterEach(() => {
    link?.close();
    proxy?.stop();
    proxy = undefined;
    server.close();
  });

  /*
   * Entries replaced a connection after a late decision, and their watch request on the same
   * connection failed within milliseconds. Replacing a connection must not end a call that has
   * begun.
   */
  it('should let a running call finish on a connection that is replaced', async () => {
    server.add(SiteService, {
      watch: handleUnary<WatchRequest, WatchReply>(async () => {
        await pause(ANSWER_MS);
        return WatchReply.fromPartial({ leaseMs: 7 });
      }),
      place: handleStream((stream: ServerStream<PlaceNews, PlaceDecisions>) => (
        stream.listen({ take: () => undefined, close: () => undefined }))),
    });
    const address = await server.listen('127.0.0.1:0');
    link = new RpcLink(SiteClient, address);
    const ask = () => (link as RpcLink<SiteClient>).call<WatchRequest, WatchReply>(
      (stub) => stub.watch.bind(stub),
      WatchRequest.fromPartial({}),
      new Operation({ timeoutMs: 2_000 }),
    );
    await ask();
    const answer = ask();
    const closed: (Error | undefined)[] = [];
    const stream = link.openStream<PlaceNews, PlaceDecisions>((stub) => stub.place.bind(stub), {
      take: () => undefined, close: (error) => closed.push(error),
    });
    await pause(50);
    stream.replaceConnection();
    expect((await answer).leaseMs).toBe(7);
  });

  // A call with a short time limit timed out, and the connection was closed although other calls on
  // it were still waiting for their replies.
  it('should let running calls finish when another one on the same connection times out', async () => {
    server.add(SiteService, {
      watch: handleUnary<WatchRequest, WatchReply>(async () => {
        await pause(SLOW_ANSWER_MS);
        return WatchReply.fromPartial({ leaseMs: 7 });
      }),
    });
    const address = await server.listen('127.0.0.1:0');
    link = new RpcLink(SiteClient, address);
    const ask = (timeoutMs: number) => (link as RpcLink<SiteClient>).call<WatchRequest, WatchReply>(
      (stub) => stub.watch.bind(stub),
      WatchRequest.fromPartial({}),
      new Operation({ timeoutMs }),
    );
    const slowCalls = [ask(CALL_TIMEOUT_MS), pause(ANSWER_MS).then(() => ask(CALL_TIMEOUT_MS))];
    await expect(ask(SLOW_ANSWER_MS / 3)).rejects.toThrow('DEADLINE_EXCEEDED');
    const answers = await Promise.all([...slowCalls, ask(CALL_TIMEOUT_MS)]);
    expect(answers.map(({ leaseMs }) => leaseMs)).toEqual([7, 7, 7]);
  });

  // No entry reached an overloaded leader again: each gave up its new connection with the first
  // late call, before the leader had accepted it, and the next connection waited as long.
  it('should let a new connection open for longer than its calls may wait', async () => {
    server.add(SiteService, { watch: answerAtOnce });
    const proxied = await openProxied();
    proxied.openDelayMs = 900;
    expect(await askUntilAnswered(300, 5_000)).toBe(true);
    expect(proxied.connectionCount).toBeLessThanOrEqual(3);
  });

  // Guards against a change of the operator that waits for seconds: the leader was slow once, and
  // all that was forwarded to it waited for another connection, which it did not accept.
  it('should use a connection that answers late until its replacement is open', async () => {
    let answerMs = 0;
    server.add(SiteService, {
      watch: handleUnary<WatchRequest, WatchReply>(async () => {
        await pause(answerMs);
        return WatchReply.fromPartial({ leaseMs: 7 });
      }),
    });
    const proxied = await openProxied();
    expect(await askUntilAnswered(1_000, 1_000)).toBe(true);
    proxied.openDelayMs = 5_000;
    answerMs = 600;
    expect(await askUntilAnswered(300, 300)).toBe(false);
    expect(await askUntilAnswered(1_000, 1_000)).toBe(true);
    expect(await askUntilAnswered(1_000, 1_000)).toBe(true);
  });

  // Guards against a log, a lease or a slot that waits for seconds for the same reason.
  it('should open streams on a connection that answers late until its replacement is open', async () => {
    server.add(SiteService, {
      watch: answerAtOnce,
      place: handleStream((stream: ServerStream<PlaceNews, PlaceDecisions>) => stream.listen({
        take: ({ number }) => stream.send({ acknowledged: number, replies: [] }),
        close: () => undefined,
      })),
    });
    const proxied = await openProxied();
    const acknowledged: number[] = [];
    const pickMethod = (stub: SiteClient) => stub.place.bind(stub);
    const open = () => link?.openStream<PlaceNews, PlaceDecisions>(pickMethod, {
      take: (decisions) => acknowledged.push(decisions.acknowledged), close: () => undefined,
    });
    const first = open();
    first?.write(PlaceNewsCodec.fromPartial({ number: 1 }));
    await expect.poll(() => acknowledged).toEqual([1]);
    proxied.openDelayMs = 5_000;
    first?.replaceConnection();
    open()?.write(PlaceNewsCodec.fromPartial({ number: 2 }));
    await expect.poll(() => acknowledged).toEqual([1, 2]);
  });

  // Guards against a call that goes on although it was given up while it waited for a connection.
  it('should cancel a call that is given up while its connection opens', async () => {
    server.add(SiteService, {
      watch: handleUnary<WatchRequest, WatchReply>(async () => {
        await pause(SLOW_ANSWER_MS);
        return WatchReply.fromPartial({ leaseMs: 7 });
      }),
    });
    const proxied = await openProxied();
    const ask = (operation: Operation) => link?.call<WatchRequest, WatchReply>(
      (stub) => stub.watch.bind(stub),
      WatchRequest.fromPartial({}),
      operation,
    );
    await ask(new Operation({ timeoutMs: CALL_TIMEOUT_MS }));
    proxied.openDelayMs = CALL_TIMEOUT_MS;
    await expect(ask(new Operation({ timeoutMs: RETRY_MS }))).rejects.toThrow('DEADLINE_EXCEEDED');
    const operation = new Operation({ timeoutMs: CALL_TIMEOUT_MS });
    const answer = ask(operation);
    operation.cancel('not needed');
    await expect(answer).rejects.toThrow('CANCELLED');
  });

  // Guards against calls that go on using a dead connection once its replacement is open.
  it('should use the replacement as soon as it is open', async () => {
    server.add(SiteService, { watch: answerAtOnce });
    const proxied = await openProxied();
    expect(await askUntilAnswered(1_000, 1_000)).toBe(true);
    proxied.openDelayMs = 700;
    proxied.dropTraffic();
    expect(await askUntilAnswered(200, 2_500)).toBe(true);
  });

  // A connection that something between both ends has dropped must be replaced at once.
  it('should use a new connection after the first call that is not answered', async () => {
    server.add(SiteService, { watch: answerAtOnce });
    const proxied = await openProxied();
    expect(await askUntilAnswered(1_000, 1_000)).toBe(true);
    proxied.dropTraffic();
    expect(await askUntilAnswered(300, 900)).toBe(true);
  });

  // After all processes of a site were killed, entries came back later than their leader: their
  // connections to it waited between two attempts although the port was open again.
  it('should reach a peer at once that refused connections before', async () => {
    server.add(SiteService, { watch: answerAtOnce });
    const address = await server.listen(await findFreeAddress());
    link = new RpcLink(SiteClient, address);
    server.close();
    expect(await askUntilAnswered(300, 2_000)).toBe(false);
    server = new RpcServer();
    server.add(SiteService, { watch: answerAtOnce });
    await server.listen(address);
    const startedAt = performance.now();
    expect(await askUntilAnswered(300, 2_000)).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(100);
  });
});
