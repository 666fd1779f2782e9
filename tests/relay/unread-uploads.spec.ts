import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { RawCaller } from '../fakes/rawCaller';
import type { CallerResult } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

/** More than the operating systems of both ends keep. */
const UPLOAD_BYTES = 16_000_000;
const PART = 'p'.repeat(5_000);
const WHOLE = 'whole';

const makeHead = (status: number, version = '1.1'): string => (
  `HTTP/${version} ${status} X\r\nx-id: r1\r\nconnection: close\r\n\r\n`);

/** Answers at once without reading the upload, and ends the connection in some way. */
const answerEarly = (
  head: string,
  endConnection: (socket: Socket) => Promise<void> | void,
): ServerScript => async (socket) => {
  socket.pause();
  socket.write(`${head}${PART}`);
  await endConnection(socket);
};

const reset = (socket: Socket): void => {
  socket.resetAndDestroy();
};

const endThenReset = (ms: number) => async (socket: Socket): Promise<void> => {
  socket.end();
  await pause(ms);
  socket.resetAndDestroy();
};

/** Reads the whole upload, and answers without a length. */
const answerLate = (): ServerScript => {
  let bytes = 0;
  return (socket, text) => {
    bytes += text.length;
    if (bytes > UPLOAD_BYTES) socket.end(`${makeHead(200)}${WHOLE}`);
  };
};

const plain: Partial<Route> = { kind: 'nonIdempotent', maxAttempts: 1, timeoutMs: 5_000 };

describe('an answer without a length to an upload that its server has not read', () => {
  let rig: RelayRig;

  let caller: RawCaller | undefined;

  afterEach(async () => {
    caller?.close();
    await rig.close();
  });

  const start = async (route: Partial<Route>, scripts: readonly ServerScript[]): Promise<void> => {
    const routing = makeRouting({ routes: [makeRoute(route)] });
    rig = await RelayRig.start({
      ...routing, limits: { ...routing.limits, bodyBytes: 2 * UPLOAD_BYTES },
    }, scripts);
  };

  /** Sends bytes and returns what is received, followed by `reset` if the connection was reset. */
  const readToEnd = (bytes: string): Promise<string> => new Promise((resolve) => {
    const socket = new Socket();
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => {
      text += 'reset';
    });
    socket.on('close', () => resolve(text));
    socket.connect(rig.port, '127.0.0.1', () => socket.write(bytes));
  });

  const send = async (
    route: Partial<Route>,
    scripts: readonly ServerScript[],
  ): Promise<CallerResult> => {
    await start(route, scripts);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    return caller.send({
      id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1' }, body: 'u'.repeat(UPLOAD_BYTES),
    });
  };

  // A server ended its side and reset the connection while the upload was still being written, and
  // the caller got the part that had arrived as a complete answer.
  it.each([
    ['reset at once', makeHead(200), reset],
    ['ended, reset 0 ms later', makeHead(200), endThenReset(0)],
    ['ended, reset 30 ms later', makeHead(200), endThenReset(30)],
    ['ended, reset 50 ms later', makeHead(200), endThenReset(50)],
    ['ended, reset 50 ms later, HTTP/1.0', makeHead(200, '1.0'), endThenReset(50)],
  ] as const)('should not be passed on as complete: %s', async (name, head, endConnection) => {
    const { answer } = await send(plain, [answerEarly(head, endConnection)]);
    expect(answer?.status ?? 502).toBe(502);
  });

  // Guards against the same at a caller that learns the end of an answer from its connection only.
  it('should not end in order at an HTTP/1.0 caller', async () => {
    await start(plain, [answerEarly(makeHead(200), endThenReset(50))]);
    const text = await readToEnd([
      'POST /orders/7 HTTP/1.0', 'host: shop.example', 'x-id: r1', 'x-key: k1', `content-length: ${UPLOAD_BYTES}`, '', '',
    ].join('\r\n') + 'u'.repeat(UPLOAD_BYTES));
    expect(text).toMatch(/^HTTP\/1.1 502 |reset$/);
  });

  it('should be replaced by the answer of another server if the request may be repeated', async () => {
    const { answer } = await send({ kind: 'idempotent', maxAttempts: 2, timeoutMs: 5_000 }, [
      answerEarly(makeHead(200), endThenReset(50)), answerLate(),
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE });
  });

  // Guards against a refusal that is lost: a server need not read an upload that it refuses.
  it('should be passed on if it is a failure', async () => {
    const { answer } = await send(plain, [answerEarly(makeHead(413), endThenReset(50))]);
    expect(answer).toMatchObject({ status: 413, body: PART });
  });

  it.each([
    ['without a length, once the upload is read', answerLate()],
    ['with a length, at once', (socket) => sendAnswer(socket, 'r1', WHOLE)],
  ] as [string, ServerScript][])('should be passed on if it is complete: %s', async (name, script) => {
    expect((await send(plain, [script])).answer).toMatchObject({ status: 200, body: WHOLE });
  });
});
