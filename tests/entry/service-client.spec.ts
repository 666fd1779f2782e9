import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { callService } from '../../src/entry/sending/serviceClient';
import type { ServiceAnswer } from '../../src/entry/sending/serviceClient';
import { ScriptedServer } from '../fakes/scriptedServer';

const HEAD = 'HTTP/1.1 200 X\r\nconnection: close\r\n\r\n';
const END_MS = 30;
/** More than the operating systems of both ends keep. */
const UPLOAD_BYTES = 16_000_000;

describe('an answer of a service without a length', () => {
  let server: ScriptedServer;

  const callListening = async (body = Buffer.alloc(0)): Promise<ServiceAnswer> => {
    await server.listen();
    const method = body.length > 0 ? 'POST' : 'GET';
    return callService({
      address: server.address, method, path: '/', headers: {}, body, timeoutMs: 2_000, maxBytes: 1_000,
    });
  };

  const callServer = async (endAnswer: (socket: Socket) => void): Promise<ServiceAnswer> => {
    server = new ScriptedServer((socket) => {
      socket.write(`${HEAD}half of it`);
      pause(END_MS).then(() => endAnswer(socket)).catch(() => undefined);
    });
    return callListening();
  };

  afterEach(() => server.close());

  it('should be passed on once its server ends the connection', async () => {
    const { status, body } = await callServer((socket) => socket.end(', all of it'));
    expect([status, body.toString()]).toEqual([200, 'half of it, all of it']);
  });

  // Fault: the HTTP client treats a reset as a normal end, and half an answer looked complete.
  it('should not be passed on if its server resets the connection', async () => {
    await expect(callServer((socket) => socket.resetAndDestroy())).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  // Fault: a reset that is read together with the bytes in front of it is reported as a normal end.
  it.each(['HTTP/1.1', 'HTTP/1.0'])('should not be passed on if its server resets the connection behind its bytes: %s', async (version) => {
    server = new ScriptedServer((socket) => {
      socket.write(`${HEAD.replace('HTTP/1.1', version)}half of it`);
      socket.resetAndDestroy();
    });
    await expect(callListening()).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  const refuseUpload = (head: string): Promise<ServiceAnswer> => {
    server = new ScriptedServer((socket) => {
      socket.pause();
      socket.end(`${head}half of it`);
      pause(END_MS).then(() => socket.resetAndDestroy()).catch(() => undefined);
    });
    return callListening(Buffer.alloc(UPLOAD_BYTES));
  };

  // A server ended its side while the call was still being written, and reset the connection later:
  // the part that had arrived looked complete.
  it('should not be passed on if its server ends the connection before it has read the call', async () => {
    await expect(refuseUpload(HEAD)).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  // A server answered with a status that HTTP does not have, and the caller got it.
  it.each([0, 99, 600, 999])('should not be passed on with status %i', async (status) => {
    server = new ScriptedServer((socket) => {
      socket.end(`HTTP/1.1 ${String(status).padStart(3, '0')} X\r\ncontent-length: 2\r\n\r\nok`);
    });
    await expect(callListening()).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  it('should be passed on if it is a failure, though its server has not read the call', async () => {
    expect((await refuseUpload(HEAD.replace('200', '413'))).status).toBe(413);
  });
});
