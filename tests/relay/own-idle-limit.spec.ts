import { Socket } from 'node:net';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { RawCaller } from '../fakes/rawCaller';
import type { CallerResult } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const REQUEST = { id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1' } };
const ANSWER = 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n';
/** Code of the error with which the HTTP client closes a connection that was idle too long. */
const IDLE_CODE = 'UND_ERR_INFO';

/** Resolves when an idle connection to a server is closed, before the next sockets are read. */
const waitIdleClose = (): Promise<void> => new Promise((resolve) => {
  const { destroy } = Socket.prototype;
  vi.spyOn(Socket.prototype, 'destroy').mockImplementation(function close(this: Socket, error?: Error) {
    if ((error as { code?: string } | undefined)?.code === IDLE_CODE) resolve();
    return destroy.call(this, error);
  });
});

describe('a request that arrives as the idle time of a connection to a server ends', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  afterEach(async () => {
    vi.restoreAllMocks();
    caller.close();
    await rig.close();
  });

  // Fault: the entry closed the connection itself, a request took it before it had closed, and the
  // whole answer on the next socket was cut off.
  it('should get its complete answer and run once', async () => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ kind: 'stream', maxAttempts: 1 })] }), [
      (socket) => socket.write(ANSWER),
    ]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200 } });
    const asked = waitIdleClose().then((): Promise<CallerResult> => caller.send(REQUEST));
    expect(await asked).toMatchObject({ answer: { status: 200 } });
    expect(rig.received.length).toBe(2);
  });
});
