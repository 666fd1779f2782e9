import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type { Routing } from '../../src/manifest/routing';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const HOST = '127.0.0.1';
const HEAD = 'Host: shop.example\r\nx-id: r1\r\nx-key: k1\r\n';
const PIECES = 8;
const PIECE_MS = 100;
const LENGTH = 100_000;
const WHOLE = 'x'.repeat(LENGTH);

const STREAM_HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n';

/** Streams for most of a second on paths that start with /orders/s, answers others late. */
const answerSlowly: ServerScript = (socket, request) => {
  if (!request.startsWith('GET /orders/s')) {
    setTimeout(() => sendAnswer(socket, 'r1', WHOLE), PIECES * PIECE_MS);
    return;
  }
  socket.write(STREAM_HEAD);
  Array.from({ length: PIECES }, (unused, position) => setTimeout(() => {
    socket.write(`5\r\nid:${position}\n\r\n`);
    if (position === PIECES - 1) socket.write('0\r\n\r\n');
  }, (position + 1) * PIECE_MS));
};

const makeDocument = (changes: Partial<Routing>): Routing => makeRouting({
  routes: [
    makeRoute({
      name: 's', pathPrefix: '/orders/s', kind: 'stream', timeoutMs: 4_000,
    }),
    makeRoute({ name: 'r', kind: 'nonIdempotent', timeoutMs: 4_000 }),
  ],
  ...changes,
});

const changes: readonly (readonly [string, (rig: RelayRig) => void])[] = [
  ['no route', (rig) => rig.replaceRouting(makeDocument({ version: 2n, routes: [] }))],
  ['no service', (rig) => rig.replaceRouting(makeDocument({ version: 2n, routes: [], services: [] }))],
  ['no account', (rig) => rig.replaceRouting(makeDocument({ version: 2n, accounts: [] }))],
  ['short timeouts', (rig) => rig.replaceRouting(makeDocument({
    version: 2n, routes: [makeRoute({ timeoutMs: 1, targetLatencyMs: 1 })],
  }))],
  ['low limits', (rig) => rig.replaceRouting(makeDocument({
    version: 2n,
    limits: {
      headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
    },
  }))],
  ['leaving servers', (rig) => rig.setStanding('draining')],
  ['removed servers', (rig) => rig.setStanding('gone')],
  ['an expired lease', (rig) => {
    vi.spyOn(rig.site, 'isServing', 'get').mockReturnValue(false);
  }],
];

describe('requests during which the site changes', () => {
  let rig: RelayRig;

  let socket: Socket;

  let text = '';

  beforeEach(async () => {
    rig = await RelayRig.start(makeDocument({}), [answerSlowly]);
    text = '';
    socket = new Socket();
    socket.on('error', () => undefined);
    socket.on('data', (piece) => {
      text += piece.toString('latin1');
    });
    await new Promise<void>((resolve) => {
      socket.connect(rig.port, HOST, resolve);
    });
  });

  afterEach(async () => {
    vi.restoreAllMocks();
    socket.destroy();
    await rig.close();
  });

  const waitEnd = (ending: string): Promise<void> => vi.waitFor(() => {
    expect(text.endsWith(ending)).toBe(true);
  }, { timeout: 3 * PIECES * PIECE_MS });

  // Fault: a stream was aborted because its route, its server or its entry's lease was gone.
  it.each(changes)('should complete a stream: %s', async (name, change) => {
    socket.write(`GET /orders/s HTTP/1.1\r\n${HEAD}\r\n`);
    await pause(2.5 * PIECE_MS);
    change(rig);
    await waitEnd(`id:${PIECES - 1}\n\r\n0\r\n\r\n`);
    expect(text).toMatch(/^HTTP\/1.1 200 /);
  });

  it.each(changes)('should answer a request that may run only once: %s', async (name, change) => {
    socket.write(`POST /orders/7 HTTP/1.1\r\n${HEAD}content-length: 3\r\n\r\nabc`);
    await pause(2.5 * PIECE_MS);
    change(rig);
    await waitEnd(WHOLE);
    expect(text).toMatch(/^HTTP\/1.1 200 /);
  });

  // The limits that admitted a request stay in force until its body has been read.
  it.each(changes)('should answer a request whose body is being received, or refuse it as not run: %s', async (name, change) => {
    socket.write(`POST /orders/7 HTTP/1.1\r\n${HEAD}content-length: 3\r\n\r\na`);
    await pause(PIECE_MS);
    change(rig);
    await pause(PIECE_MS);
    socket.write('bc');
    await vi.waitFor(() => {
      expect(text).toMatch(/^HTTP\/1.1 (200 [^]*x{1000}$|503 )/);
    }, { timeout: 3 * PIECES * PIECE_MS });
    await vi.waitFor(async () => expect(await rig.countOpenRequests()).toBe(0));
  });

  // A caller may use an idle connection within the time that was announced with its last answer.
  it('should keep an idle connection for the time that was announced with its last answer', async () => {
    socket.write(`GET /orders/s HTTP/1.1\r\n${HEAD}\r\n`);
    await waitEnd('0\r\n\r\n');
    text = '';
    rig.replaceRouting(makeDocument({
      version: 2n,
      limits: {
        headerBytes: 16_384, bodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 100,
      },
    }));
    await pause(1_500);
    socket.write(`GET /orders/s HTTP/1.1\r\n${HEAD}\r\n`);
    await waitEnd('0\r\n\r\n');
    expect(text).toMatch(/^HTTP\/1.1 200 /);
  });
});
