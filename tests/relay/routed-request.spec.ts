import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { RelayRig } from '../fakes/relayRig';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';
import { makeRoute, makeRouting } from '../fakes/routings';

const HOST = 'Host: shop.example\r\nx-id: r1\r\nx-key: k1\r\n';

const answerAll: ServerScript = (socket, request) => {
  sendAnswer(socket, /x-id: (\w+)/.exec(request)?.[1] ?? '', 'fine');
};

const failAll: ServerScript = (socket) => sendAnswer(socket, 'r1', 'broken', 500);

const makeEvents = (from: number, to: number): string => (
  Array.from({ length: to - from + 1 }, (unused, position) => `id: ${from + position}\ndata: x\n\n`).join('')
);

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n';

const writeChunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

describe('a routed request', () => {
  let rig: RelayRig | undefined;

  const start = async (route: Partial<Route>, ...scripts: ServerScript[]): Promise<RelayRig> => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute(route)] }), scripts);
    return rig;
  };

  const callShop = async (path = '/orders/7', options: RequestInit = {}): Promise<Response> => {
    // fetch cannot set the Host header, so the request is sent as raw bytes.
    const text = await rig?.send(`${options.method ?? 'GET'} ${path} HTTP/1.1\r\n${HOST}${options.body ? `content-length: ${String(options.body).length}\r\n` : ''}connection: close\r\n\r\n${String(options.body ?? '')}`, 2_500) ?? '';
    const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
    return new Response(text.slice(text.indexOf('\r\n\r\n') + 4), { status: status || 599, headers: { 'x-head': encodeURIComponent(text.slice(0, text.indexOf('\r\n\r\n'))) } });
  };

  afterEach(async () => {
    await rig?.close();
    rig = undefined;
  });

  it('should forward method, path, body and headers unchanged, without the key', async () => {
    const { received } = await start({}, answerAll).then(async (started) => {
      await callShop('/orders/7?a=%20b', { method: 'PUT', body: 'one two' });
      return started;
    });
    expect(received[0]).toMatch(/^PUT \/orders\/7\?a=%20b HTTP\/1.1\r\n/);
    expect(received[0]).toMatch(/Host: shop.example\r\n/i);
    expect(received[0]).toMatch(/x-id: r1\r\n/);
    expect(received[0]?.endsWith('\r\n\r\none two')).toBe(true);
    expect(received[0]).not.toMatch(/k1/);
  });

  // A server crashes in the middle of an answer that is not a stream. The retry's answer must not
  // be appended to the first half of the first answer.
  it('should send one complete answer when a server breaks off', async () => {
    const breakOff: ServerScript = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 9\r\n\r\nhalf');
      setTimeout(() => socket.destroy(), 20);
    };
    await start({ kind: 'idempotent' }, breakOff, breakOff, answerAll);
    const answer = await callShop();
    const body = await answer.text();
    expect([200, 502]).toContain(answer.status);
    expect(body).not.toMatch(/half/);
    if (answer.status === 200) expect(body).toBe('fine');
  });

  // The server may have run the request before its connection broke: a retry could run it twice.
  it('should never resend a request that may run only once when its answer is lost', async () => {
    const dropAll: ServerScript = (socket) => socket.destroy();
    const started = await start({ kind: 'nonIdempotent' }, dropAll, dropAll);
    expect((await callShop('/orders/7', { method: 'POST', body: 'x' })).status).toBe(502);
    expect(started.received).toHaveLength(1);
  });

  it('should send a request that may run only once to another server if the first one did not run it', async () => {
    const refuse: ServerScript = (socket) => sendAnswer(socket, 'r1', '', 503, 'x-not-run: 1\r\n');
    const refuseFirst: ServerScript = (socket, request, count) => (
      rig?.received.length === 1 ? refuse : answerAll)(socket, request, count);
    const started = await start({ kind: 'nonIdempotent' }, refuseFirst, refuseFirst);
    expect((await callShop()).status).toBe(200);
    expect(started.received).toHaveLength(2);
  });

  // The late answer of an earlier request arrives on the connection of this request.
  it('should not use the answer of another request', async () => {
    const sendOther: ServerScript = (socket) => sendAnswer(socket, 'other', 'not yours');
    const started = await start({ kind: 'nonIdempotent' }, sendOther);
    const answer = await callShop();
    expect([answer.status, await answer.text()]).not.toContain('not yours');
    expect(answer.status).toBe(502);
    expect(started.received).toHaveLength(1);
  });

  // Fault: a late refusal of an earlier request was taken for that of this one, which then ran at a
  // second server, or was answered as not run.
  it('should not use the refusal of another request', async () => {
    const refuseOther: ServerScript = (socket) => sendAnswer(socket, 'other', '', 503, 'x-not-run: 1\r\n');
    const started = await start({ kind: 'nonIdempotent', maxAttempts: 3 }, refuseOther, refuseOther);
    const answer = await callShop();
    expect([answer.status, started.received.length]).toEqual([502, 1]);
  });

  // A server that can't read the id of a request refuses it without one.
  it('should use a refusal without an id', async () => {
    const refuse: ServerScript = (socket) => {
      socket.write('HTTP/1.1 400 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n');
    };
    const refuseFirst: ServerScript = (socket, request, count) => (
      rig?.received.length === 1 ? refuse : answerAll)(socket, request, count);
    const started = await start({ kind: 'nonIdempotent' }, refuseFirst, refuseFirst);
    expect((await callShop()).status).toBe(200);
    expect(started.received).toHaveLength(2);
  });

  it('should retry a failure on a route that allows repeats, and pass the last failure on', async () => {
    const started = await start({ kind: 'idempotent', maxAttempts: 2 }, failAll, failAll, failAll);
    const answer = await callShop();
    expect([answer.status, await answer.text()]).toEqual([500, 'broken']);
    expect(started.received).toHaveLength(2);
  });

  /*
   * Fault: a request was refused with 503, which states that it has not run, and its caller sent it
   * again, so that it ran twice. Its first attempt had reached a server that broke off, and the
   * refusal described only the second attempt, for which there was no server.
   */
  it('should not report that a request has not run if its first attempt may have run it', async () => {
    const breakOff: ServerScript = (socket) => socket.destroy();
    const started = await start({ kind: 'idempotent', maxAttempts: 2 }, breakOff);
    const answer = await callShop();
    expect(started.received).toHaveLength(1);
    expect([answer.status, answer.headers.get('retry-after')]).toEqual([502, null]);
  });

  it('should pass a failure on at once if the route does not allow repeats', async () => {
    const started = await start({ kind: 'nonIdempotent', maxAttempts: 3 }, failAll, failAll);
    expect((await callShop()).status).toBe(500);
    expect(started.received).toHaveLength(1);
  });

  // The server of a resumable stream crashes in the middle of an event. The caller gets each event
  // once and complete, from two servers, in one answer.
  it('should resume a stream at another server after its last whole event', async () => {
    const serve: ServerScript = (socket, request) => {
      const last = Number(/x-last: (\d+)/.exec(request)?.[1] ?? 0);
      if (last > 0) {
        socket.write(`${HEAD}${writeChunk(makeEvents(last + 1, 9))}0\r\n\r\n`);
        return;
      }
      socket.write(`${HEAD}${writeChunk(`${makeEvents(1, 5)}id: 6\nda`)}`);
      setTimeout(() => socket.destroy(), 30);
    };
    await start({ kind: 'stream', isResumable: true, targetLatencyMs: 800 }, serve, serve);
    const text = await (await callShop()).text();
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    expect(ids).toEqual([1, 2, 3, 4, 5, 6, 7, 8, 9]);
  });

  // A server crashes in the middle of an answer without a length, which ends with its connection.
  // If the reset counted as the end, half an answer would look complete.
  it('should not treat a reset as the end of an answer without a length', async () => {
    const resetAll: ServerScript = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nconnection: close\r\n\r\nhalf of it');
      setTimeout(() => socket.resetAndDestroy(), 30);
    };
    await start({ kind: 'nonIdempotent' }, resetAll);
    const answer = await callShop();
    expect([answer.status, await answer.text()]).not.toContain('half of it');
    expect(answer.status).toBe(502);
  });

  // Fault: an answer without a length ended with the caller's connection, also when its entry was
  // killed, so a part of it looked complete.
  it('should pass an answer without a length on in chunks', async () => {
    const endAll: ServerScript = (socket) => {
      socket.end('HTTP/1.1 200 OK\r\nx-id: r1\r\nconnection: close\r\n\r\nall of it');
    };
    await start({ kind: 'nonIdempotent' }, endAll);
    const answer = await callShop();
    const head = decodeURIComponent(answer.headers.get('x-head') ?? '');
    expect([answer.status, await answer.text()]).toEqual([200, '9\r\nall of it\r\n0\r\n\r\n']);
    expect(head).toMatch(/transfer-encoding: chunked/i);
    expect(head).not.toMatch(/content-length/i);
    expect(head).toMatch(/connection: close/i);
  });

  it('should abort a stream that may not be resumed, so that it does not look complete', async () => {
    const serve: ServerScript = (socket) => {
      socket.write(`${HEAD}${writeChunk(makeEvents(1, 5))}`);
      setTimeout(() => socket.destroy(), 30);
    };
    const started = await start({ kind: 'stream' }, serve, serve);
    const text = await (await callShop()).text();
    expect(text).toMatch(/id: 5/);
    expect(text).not.toMatch(/\r\n0\r\n\r\n$/);
    expect(started.received).toHaveLength(1);
  });

  it('should cancel the request at its server when the caller disconnects', async () => {
    const keepSilent: ServerScript = () => undefined;
    const started = await start({ kind: 'nonIdempotent' }, keepSilent);
    await started.send(`GET /orders/7 HTTP/1.1\r\n${HOST}\r\n`, 100);
    await pause(100);
    expect(started.received).toHaveLength(1);
    expect(started.findServer(0).closedCount).toBe(1);
  });

  it('should answer with an error at the timeout of the route', async () => {
    await start({ kind: 'nonIdempotent', timeoutMs: 200 }, () => undefined);
    const from = performance.now();
    expect((await callShop()).status).toBe(504);
    expect(performance.now() - from).toBeLessThan(1_500);
  });

  it('should move an idempotent request away from an unresponsive server', async () => {
    const answerSecond: ServerScript = (socket, request, count) => {
      if ((rig?.received.length ?? 0) > 1) answerAll(socket, request, count);
    };
    const started = await start({ kind: 'idempotent', targetLatencyMs: 50 }, answerSecond, answerSecond);
    expect((await callShop()).status).toBe(200);
    expect(started.received).toHaveLength(2);
  });

  it('should refuse without a lease, with a Retry-After, and not reveal routes', async () => {
    const started = await start({}, answerAll);
    Object.assign(started.site, { leaseUntil: -1 });
    const answer = await callShop('/nothing/here');
    expect(answer.status).toBe(503);
    expect(decodeURIComponent(answer.headers.get('x-head') ?? '')).toMatch(/retry-after/i);
    expect(started.received).toHaveLength(0);
  });

  it.each([
    ['/nothing', 'x-key: k1\r\n', 404],
    ['/orders/1', 'x-key: wrong\r\n', 401],
    ['/orders/1', '', 401],
  ])('should answer path %s and headers "%s" with status %i', async (path, key, status) => {
    const started = await start({}, answerAll);
    const text = await started.send(`GET ${path} HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\n${key}\r\n`);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status}`));
    expect(started.received).toHaveLength(0);
  });

  // Request smuggling: two contradicting lengths hide a second request in the body of the first.
  it('should refuse a request with both a content length and chunked encoding', async () => {
    const started = await start({}, answerAll);
    const inner = 'GET /orders/9 HTTP/1.1\r\nHost: shop.example\r\nx-id: r9\r\n\r\n';
    const text = await started.send(`POST /orders/7 HTTP/1.1\r\n${HOST}content-length: ${inner.length}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${inner}`);
    expect(text).toMatch(/^HTTP\/1.1 400/);
    expect(started.received.join('')).not.toMatch(/r9/);
  });

  it('should refuse a body that exceeds the limit and continue serving', async () => {
    rig = await RelayRig.start(makeRouting({
      limits: {
        headerBytes: 16_384, bodyBytes: 10, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000,
      },
    }), [answerAll]);
    expect((await callShop('/orders/1', { method: 'POST', body: 'far too long a body' })).status).toBe(413);
    expect((await callShop('/orders/1', { method: 'POST', body: 'short' })).status).toBe(200);
  });

  // A server sends a second answer directly after a complete one. The next request on that
  // connection would get it.
  it('should never reuse a connection with bytes after a complete answer', async () => {
    const sendTwice: ServerScript = (socket, request) => {
      const id = /x-id: (\w+)/.exec(request)?.[1] ?? '';
      sendAnswer(socket, id, `for ${id}`);
      sendAnswer(socket, id, `again ${id}`);
    };
    const started = await start({}, sendTwice);
    const ask = (id: string) => started.send(`GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nx-id: ${id}\r\nx-key: k1\r\n\r\n`);
    expect(await ask('a')).toMatch(/for a$/);
    expect(await ask('b')).toMatch(/for b$/);
  });
});
