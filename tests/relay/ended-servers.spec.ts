import type { Socket } from 'node:net';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { openNetworkSocket } from '../../src/relay/workerConnection';
import type { Connector } from '../../src/relay/workerConnection';
import { RawCaller } from '../fakes/rawCaller';
import type { CallerResult } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];
const WHOLE = EVENTS.join('');
const BETWEEN_EVENTS = EVENTS.slice(0, 2).join('');
const WITHIN_EVENT = WHOLE.slice(0, -1);
const HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\n';
/** Time between the head of an answer and its end, in milliseconds. */
const STEP_MS = 30;
/** Time for which the process is busy before and after a time limit, in milliseconds. */
const BUSY_MS = 10;

/** Time for which a connection that checks a server takes to open, in milliseconds. */
const SLOW_MS = 500;

const streamOnce: Partial<Route> = { kind: 'stream', isResumable: false, maxAttempts: 1 };
const resumable: Partial<Route> = { kind: 'stream', isResumable: true, maxAttempts: 2 };
const idempotent: Partial<Route> = { kind: 'idempotent', maxAttempts: 2 };
const once: Partial<Route> = { kind: 'nonIdempotent', maxAttempts: 1 };

const heads: readonly [string, string][] = [
  ['HTTP/1.1', `${HEAD}\r\n`],
  ['HTTP/1.1 that announces the end', `${HEAD}connection: close\r\n\r\n`],
  ['HTTP/1.0', `${HEAD.replace('1.1', '1.0')}\r\n`],
];

const parts: readonly [string, string][] = [
  ['between two events', BETWEEN_EVENTS],
  ['within an event', WITHIN_EVENT],
];

const suspendProcess = (ms: number): void => {
  const until = performance.now() + ms;
  while (performance.now() < until);
};

const endCases = heads.flatMap(([head, headBytes]) => (
  parts.map(([place, part]) => [head, place, headBytes + part] as const)));

describe('an answer whose end only the end of its connection marks', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  afterEach(async () => {
    caller.close();
    await rig.close();
  });

  /** Sends a request; the first server that gets it answers with a script, others with the rest. */
  const ask = async (
    route: Partial<Route>,
    script: (socket: Socket, position: number, request: string) => void,
    headers: Readonly<Record<string, string>> = {},
    connect?: Connector,
  ): Promise<CallerResult> => {
    let count = 0;
    const serve = (position: number) => (socket: Socket, request: string): void => {
      count += 1;
      if (count === 1) script(socket, position, request);
      else {
        const rest = EVENTS.slice(Number(/x-last: (\d*)/.exec(request)?.[1] ?? 0)).join('');
        socket.write(`${HEAD}content-length: ${rest.length}\r\n\r\n${rest}`);
      }
    };
    const routing = makeRouting({ routes: [makeRoute(route)] });
    rig = await RelayRig.start(routing, [serve(0), serve(1)], [], connect);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    return caller.send({ id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1', ...headers } });
  };

  /** Ends a server like the operating system ends a process: in an orderly way. */
  const endServer = (bytes: string) => (socket: Socket, position: number): void => {
    socket.write(bytes);
    setTimeout(() => rig.findServer(position).close(), STEP_MS);
  };

  const closeConnection = (bytes: string) => (socket: Socket): void => {
    socket.write(bytes);
    setTimeout(() => socket.end(), STEP_MS);
  };

  // Fault: the operating system closes the connections of a server that has ended in an orderly
  // way, and the part that the server had written was passed on as a complete stream.
  it.each(endCases)('should be continued if its server has ended: %s, %s', async (head, place, bytes) => {
    expect(await ask(resumable, endServer(bytes))).toMatchObject({ answer: { body: WHOLE } });
  });

  // Fault: the same where nobody can continue the stream; its caller took a part for the whole.
  it.each(endCases)('should be cut off if its server has ended and it may not be resumed: %s, %s', async (head, place, bytes) => {
    expect(await ask(streamOnce, endServer(bytes))).toMatchObject({ answer: undefined });
  });

  // Fault: the same for plain answers.
  it('should be asked for anew if its server has ended and the request is idempotent', async () => {
    expect(await ask(idempotent, endServer(`${HEAD}\r\nid: 1`))).toMatchObject({ answer: { status: 200, body: WHOLE } });
  });

  it('should be replaced by a failure if its server has ended and the request may run once', async () => {
    const { answer } = await ask(once, endServer(`${HEAD}\r\nid: 1`));
    expect(answer).toMatchObject({ status: 502 });
    expect(answer?.body).toContain('outcomeUnknown');
  });

  // Fault: of several lines of transfer codings the first decided whether the answer is in chunks.
  it('should be replaced by a failure if the last of its transfer codings is not chunked', async () => {
    const lines = 'transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n';
    const { answer } = await ask(once, endServer(`${HEAD}${lines}\r\nid: 1`));
    expect(answer).toMatchObject({ status: 502 });
  });

  // Fault: a stream that stops within an event is incomplete by its own format.
  it.each(heads)('should be continued if it stops within an event of a server that runs: %s', async (name, head) => {
    expect(await ask(resumable, closeConnection(head + WITHIN_EVENT)))
      .toMatchObject({ answer: { body: WHOLE } });
  });

  it.each(heads)('should be cut off if it stops within an event and may not be resumed: %s', async (name, head) => {
    expect(await ask(streamOnce, closeConnection(head + WITHIN_EVENT)))
      .toMatchObject({ answer: undefined });
  });

  // Fault: a server stops its work at the time limit that the entry has named to it, and an entry
  // that was busy read the end of the connection before it checked the limit.
  it.each([['that may be resumed', resumable], ['that may run once', streamOnce]])('should be cut off if its server stops at the time limit: a stream %s', async (name, route) => {
    const stopAtLimit = (socket: Socket, position: number, request: string): void => {
      socket.write(`${HEAD}\r\n${BETWEEN_EVENTS}`);
      const limitMs = Number(/x-left: (\d+)/.exec(request)?.[1]);
      setTimeout(() => suspendProcess(2 * BUSY_MS), limitMs - BUSY_MS);
      setTimeout(() => socket.end(), limitMs);
    };
    expect(await ask(route, stopAtLimit, { 'x-patience': '100' })).toMatchObject({ answer: undefined });
    // Fault: the server counted as unreachable although it did what it was told.
    expect([...rig.site.workers.byId.values()].map(({ suspendedUntil }) => suspendedUntil))
      .toEqual([0, 0]);
  });

  // Guards against complete answers of servers that run and are taken for parts.
  it.each([
    ['a stream that may be resumed', resumable, 2],
    ['a stream that may run once', streamOnce, 1],
    ['an idempotent request', idempotent, 1],
    ['a request that may run once', once, 1],
  ])('should be complete if its server runs: %s', async (name, route, sends) => {
    const { answer } = await ask(route, closeConnection(`${HEAD}\r\n${WHOLE}`));
    expect([answer?.body, rig.received.length]).toEqual([WHOLE, sends]);
  });

  // Fault: a comment behind the last event was taken for a part of another one.
  it.each([['that may be resumed', resumable], ['that may run once', streamOnce]])('should be complete if a comment follows its last event: a stream %s', async (name, route) => {
    const { answer } = await ask(route, closeConnection(`${HEAD}\r\n${WHOLE}: done\n`));
    expect([answer?.body, rig.received.length]).toEqual([`${WHOLE}: done\n`, 1]);
  });

  // Fault: lines of another format were taken for events, and each such answer was cut off.
  it('should be complete if it has no events but another format', async () => {
    const lines = '{"text":"a"}\n{"text":"b"}\n';
    const answer = `${HEAD}content-type: application/x-ndjson\r\n\r\n${lines}`;
    expect(await ask(streamOnce, closeConnection(answer)))
      .toMatchObject({ answer: { body: lines } });
  });

  // Guards against a server that is taken for one that has ended because it is at its limit of
  // connections, or because this process is.
  it.each([
    ['a stream that may be resumed', resumable, 'ECONNRESET'],
    ['a stream that may run once', streamOnce, 'ECONNRESET'],
    ['a request that may run once', once, 'ECONNRESET'],
    ['a stream that may run once', streamOnce, 'EMFILE'],
  ])('should be complete if further connections fail: %s, %s', async (name, route, code) => {
    let sockets = 0;
    const openOnce: Connector = (options, callback) => {
      sockets += 1;
      if (sockets === 1) openNetworkSocket(options, callback);
      else callback(Object.assign(new Error(`connect ${code}`), { code }), null);
    };
    const { answer } = await ask(route, closeConnection(`${HEAD}\r\n${WHOLE}`), {}, openOnce);
    expect([answer?.body, rig.received.length]).toEqual([WHOLE, 1]);
  });

  // Guards against an answer without events, such as a document, that is taken for a part of one.
  it.each([['that may be resumed', resumable], ['that may run once', streamOnce]])('should be complete if it is a document on the route of a stream %s', async (name, route) => {
    const document = '{"data":"all"}';
    const head = `${HEAD}content-type: application/json\r\n\r\n`;
    const { answer } = await ask(route, closeConnection(head + document));
    expect([answer?.body, rig.received.length]).toEqual([document, 1]);
  });

  // Fault: the check of a server held its slot and counted as its time, so it looked slower.
  it('should hold no slot of its server while that is checked', async () => {
    const counts: (number | undefined)[] = [];
    let sockets = 0;
    const openSlowly: Connector = (options, callback) => {
      sockets += 1;
      if (sockets === 1) {
        openNetworkSocket(options, callback);
        return;
      }
      counts.push(...[...rig.site.workers.byId.values()].map(({ inFlight }) => inFlight));
      setTimeout(() => openNetworkSocket(options, callback), SLOW_MS);
    };
    await ask(idempotent, closeConnection(`${HEAD}\r\n${WHOLE}`), {}, openSlowly);
    const paces = [...rig.site.workers.byId.values()].map(({ paceMs }) => paceMs);
    expect(counts).toEqual([0, 0]);
    expect(Math.max(...paces)).toBeLessThan(SLOW_MS);
  });
});
