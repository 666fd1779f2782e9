import {
  afterEach, describe, expect, it,
} from 'vitest';
import { callService } from '../../src/entry/sending/serviceClient';
import type { ServiceAnswer } from '../../src/entry/sending/serviceClient';
import { ScriptedServer } from '../fakes/scriptedServer';

const TIMEOUT_MS = 1_000;
const NOT_MODIFIED = 'HTTP/1.1 304 X\r\netag: "a"\r\ncontent-length: 9\r\n\r\n';

describe('an answer of a service that ends with its head', () => {
  let server: ScriptedServer;

  afterEach(() => server.close());

  const ask = async (bytes: string, isKept = false, method = 'GET'): Promise<ServiceAnswer> => {
    server = new ScriptedServer((socket) => {
      if (isKept) socket.write(bytes);
      else socket.end(bytes);
    });
    await server.listen();
    return callService({
      address: server.address, method, path: '/', headers: {}, body: Buffer.alloc(0), timeoutMs: TIMEOUT_MS, maxBytes: 1_000,
    });
  };

  // Fault: such an answer may name the length of a body that it does not have. It was taken for a
  // part, so its caller was told that the outcome of the call was unknown.
  it.each([
    ['304, the connection is closed', NOT_MODIFIED, false],
    ['304, the connection is kept', NOT_MODIFIED, true],
    ['304 behind early hints', `HTTP/1.1 103 X\r\nlink: a\r\n\r\n${NOT_MODIFIED}`, true],
    ['304, a large length', NOT_MODIFIED.replace('9', '999999'), true],
    ['204', 'HTTP/1.1 204 X\r\netag: "a"\r\ncontent-length: 9\r\n\r\n', true],
  ])('should be passed on though it names a length: %s', async (name, bytes, isKept) => {
    const { status, headers, body } = await ask(bytes, isKept);
    expect([status, headers.etag, body.length]).toEqual([name.startsWith('204') ? 204 : 304, '"a"', 0]);
  });

  it('should be passed on though it names a length: to HEAD', async () => {
    const { status, body } = await ask('HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n', true, 'HEAD');
    expect([status, body.length]).toEqual([200, 0]);
  });

  // Guards against parts of other answers that are taken for such ones.
  it.each([
    ['a part of such a head', NOT_MODIFIED.slice(0, -2)],
    ['a head that a body follows', 'HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n'],
  ])('should not be assumed: %s', async (name, bytes) => {
    await expect(ask(bytes)).rejects.toMatchObject({ reach: 'maybeSent' });
  });
});
