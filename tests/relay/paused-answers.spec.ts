import { once } from 'node:events';
import { get } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import type { Route, Routing } from '../../src/manifest/routing';
import { AnswerWriter } from '../../src/relay/answerWriter';
import { UpstreamCall } from '../../src/relay/upstreamCall';
import type { UpstreamOutcome } from '../../src/relay/upstreamCall';
import { WorkerConnections } from '../../src/relay/workerConnections';
import { waitFor } from '../fakes/controlSite';
import { readBody } from '../fakes/readBody';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { ScriptedServer, sendAnswer } from '../fakes/scriptedServer';

const BODY = 'x'.repeat(100);
/** Time in which a chunk or the end of a connection reaches the entry, in milliseconds. */
const STEP_MS = 20;
const LARGE_BYTES = 16_000_000;
/** Most bytes that the entry takes from a connection at once. */
const MOST_TAKEN_BYTES = 131_072;
/** The caller reads on after the server's connection has ended. */
const PAUSED_MS = 4 * STEP_MS;
const OUTCOME_MS = 1_000;

/** Name of a form of answers, the head and first chunk, and the bytes that are sent after them. */
type Form = readonly [string, string, string];

const complete: readonly Form[] = [
  ['with a length', `content-length: ${BODY.length}\r\n\r\n${BODY}`, ''],
  ['with a length, on a connection that closes', `connection: close\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`, ''],
  ['in chunks', `transfer-encoding: chunked\r\n\r\n64\r\n${BODY}`, '\r\n0\r\n\r\n'],
  ['in chunks, on a connection that closes', `connection: close\r\ntransfer-encoding: chunked\r\n\r\n64\r\n${BODY}`, '\r\n0\r\n\r\n'],
];

const unlimited: Form = ['without a length', `\r\n${BODY}`, ''];

const incomplete: readonly Form[] = [
  ['with a length', `content-length: 101\r\n\r\n${BODY}`, ''],
  ['with a length, on a connection that closes', `connection: close\r\ncontent-length: 101\r\n\r\n${BODY}`, ''],
  ['in chunks', `transfer-encoding: chunked\r\n\r\n64\r\n${BODY}`, '\r\n0\r\n'],
  ['in chunks, on a connection that closes', `connection: close\r\ntransfer-encoding: chunked\r\n\r\n64\r\n${BODY}`, '\r\n0\r\n'],
];

const close = (socket: Socket): void => {
  socket.end();
};
const reset = (socket: Socket): void => {
  socket.resetAndDestroy();
};

describe('an answer that is paused when its server\'s connection ends', () => {
  const connections = new WorkerConnections();

  let server: ScriptedServer;

  const sendTo = async (): Promise<[UpstreamOutcome['kind'] | 'none', number]> => {
    const connection = connections.acquire(server.address);
    let length = 0;
    const call: UpstreamCall = new UpstreamCall(connection, {
      isAbandoned: () => false,
      onHead: () => true,
      onData: (chunk) => {
        length += chunk.length;
        setTimeout(() => call.resume(), PAUSED_MS);
        return false;
      },
    });
    const outcome = await Promise.race([
      call.run({
        method: 'GET', path: '/', headers: ['host', 'x'], body: Buffer.alloc(0),
      }),
      pause(OUTCOME_MS, { kind: 'none' } as const),
    ]);
    return [outcome.kind, length];
  };

  const serve = async (
    [, head, rest]: Form,
    end: (socket: Socket) => void,
  ): Promise<void> => {
    server = new ScriptedServer((socket) => {
      socket.write(`HTTP/1.1 200 X\r\n${head}`);
      setTimeout(() => socket.write(rest), STEP_MS);
      setTimeout(() => end(socket), 2 * STEP_MS);
    });
    await server.listen();
  };

  afterEach(() => {
    connections.close();
    server.close();
  });

  // Guards against an entry that holds whatever a server sends for a caller that does not read.
  it('should stay with its server while it is paused', async () => {
    await serve(['large', `content-length: ${LARGE_BYTES}\r\n\r\n${'x'.repeat(LARGE_BYTES)}`, ''], close);
    const connection = connections.acquire(server.address);
    const lengths: number[] = [];
    const call = new UpstreamCall(connection, {
      isAbandoned: () => false,
      onHead: () => true,
      onData: ({ length }) => {
        lengths.push(length);
        return false;
      },
    });
    const outcome = call.run({
      method: 'GET', path: '/', headers: ['host', 'x'], body: Buffer.alloc(0),
    });
    await waitFor(() => lengths.length >= 1, 'the first bytes');
    await pause(PAUSED_MS);
    expect(lengths).toHaveLength(1);
    call.resume();
    await waitFor(() => lengths.length >= 2, 'the bytes after the pause');
    await pause(PAUSED_MS);
    expect(lengths).toHaveLength(2);
    expect(Math.max(...lengths)).toBeLessThanOrEqual(MOST_TAKEN_BYTES);
    call.abort('the test is over');
    expect(await outcome).toMatchObject({ kind: 'broken' });
  });

  // Fault: the HTTP library fails an assertion, which ends the process, or discards the end of the
  // answer if its parser is paused when the connection ends.
  it.each([...complete, unlimited])('should be complete: %s', async (...form) => {
    await serve(form, close);
    expect(await sendTo()).toEqual(['complete', BODY.length]);
  });

  // Fault: the same assertion, after a reset, which also discarded the bytes in front of it.
  it.each(complete)('should be complete though the connection is reset: %s', async (...form) => {
    await serve(form, reset);
    expect(await sendTo()).toEqual(['complete', BODY.length]);
  });

  // Guards against an incomplete answer that is passed on as complete.
  it.each([
    ...incomplete.flatMap((form) => [[form[0], 'closed', form, close], [form[0], 'reset', form, reset]] as const),
    [unlimited[0], 'reset', unlimited, reset] as const,
  ])('should be broken if it is incomplete: %s, %s', async (name, verb, form, end) => {
    await serve(form, end);
    expect(await sendTo()).toEqual(['broken', BODY.length]);
  });
});

/** Size of a chunk of a large answer. */
const CHUNK = 'id: 1\ndata: x\n\n'.repeat(1_000);
const CHUNK_MS = 1;
const CHUNK_COUNT = 200_000;
const READING_STARTS_MS = 200;
/** Far longer than the answers take, so that no time limit ends them. */
const TIME_LIMIT_MS = 30_000;

const kinds: readonly [string, Partial<Route>][] = [
  ['a stream that may run once', { kind: 'stream', isResumable: false, maxAttempts: 1 }],
  ['a stream that may be resumed', { kind: 'stream', isResumable: true, maxAttempts: 2 }],
  ['an idempotent request', { kind: 'idempotent', maxAttempts: 2 }],
  ['a request that may run once', { kind: 'nonIdempotent', maxAttempts: 1 }],
];

const makeLongRouting = (route: Partial<Route>): Routing => (
  makeRouting({ routes: [makeRoute({ ...route, timeoutMs: TIME_LIMIT_MS })] }));

/** Sends chunks until the caller's connection is full, and ends the answer with its connection. */
const fillCaller = async (socket: Socket, isFull: () => boolean, sent = 0): Promise<number> => {
  socket.write(CHUNK);
  await pause(CHUNK_MS);
  if (!isFull()) return fillCaller(socket, isFull, sent + CHUNK.length);
  socket.end();
  return sent + CHUNK.length;
};

describe('an answer that ends while its caller does not read', () => {
  let rig: RelayRig;

  afterEach(async () => {
    vi.restoreAllMocks();
    await rig.close();
  });

  /** Counts the waits for the caller that have not ended. */
  const countWaits = (): { now: number; most: number } => {
    const waits = { now: 0, most: 0 };
    const { waitDrained } = AnswerWriter.prototype;
    vi.spyOn(AnswerWriter.prototype, 'waitDrained').mockImplementation(function wait(this: AnswerWriter, resume) {
      waits.now += 1;
      waits.most = Math.max(waits.most, waits.now);
      waitDrained.call(this, () => {
        waits.now -= 1;
        resume();
      });
    });
    return waits;
  };

  /** Sends a request whose answer is not read yet. */
  const callShop = async (): Promise<IncomingMessage> => {
    const request = get({
      port: rig.port,
      path: '/orders/7',
      headers: {
        host: 'shop.example', 'x-id': 'r1', 'x-key': 'k1', 'x-patience': TIME_LIMIT_MS,
      },
    });
    const [response] = await once(request, 'response') as [IncomingMessage];
    return response;
  };

  // Fault: the process of the entry ended.
  it.each(kinds)('should be complete: %s', async (name, route) => {
    const waits = countWaits();
    let filled: Promise<number> | undefined;
    rig = await RelayRig.start(makeLongRouting(route), [(socket, request) => {
      // Proves the end of a stream that may be resumed: there are no more events.
      if (request.includes('x-last: 1')) sendAnswer(socket, 'r1', '');
      else {
        socket.write('HTTP/1.1 200 X\r\nx-id: r1\r\n\r\n');
        filled = fillCaller(socket, () => waits.now > 0);
      }
    }]);
    const response = await callShop();
    const sent = await filled;
    await pause(READING_STARTS_MS);
    const body = await readBody(response);
    expect([body.length, response.complete]).toEqual([sent, true]);
    expect(rig.received).toHaveLength(route.isResumable ? 2 : 1);
  });

  // Guards against a listener for each of the many chunks that are read at once.
  it.each(kinds)('should wait once for its caller: %s', async (name, route) => {
    const waits = countWaits();
    const chunk = 'f\r\nid: 1\ndata: x\n\n\r\n'.repeat(CHUNK_COUNT);
    rig = await RelayRig.start(makeLongRouting(route), [(socket) => {
      socket.end(`HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`);
    }]);
    const response = await callShop();
    await pause(READING_STARTS_MS);
    expect(await readBody(response)).toHaveLength(15 * CHUNK_COUNT);
    expect(waits.most).toBe(1);
  });
});
