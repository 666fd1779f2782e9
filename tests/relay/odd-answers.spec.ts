import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\nconnection: close\r\n\r\n';
const TAIL = 'x-id: r1\r\ncontent-length: 2\r\n\r\nok';
const QUIET_MS = 1_500;

const passed = [
  ['no reason', `HTTP/1.1 200\r\n${TAIL}`],
  ['non-ASCII bytes in a header', `HTTP/1.1 200 X\r\nx-a: \xe4\xff\x80\r\n${TAIL}`],
  ['a name with all allowed signs', `HTTP/1.1 200 X\r\nx!#$%&'*+.^_\`|~: a\r\n${TAIL}`],
  ['no content', 'HTTP/1.1 204 X\r\nx-id: r1\r\n\r\n'],
  ['early hints before it', `HTTP/1.1 103 Early\r\nlink: a\r\n\r\nHTTP/1.1 200 X\r\n${TAIL}`],
  ['a trailer', 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\na: b\r\n\r\n'],
  ['a Connection header that names content-length', `HTTP/1.1 200 X\r\nconnection: content-length\r\n${TAIL}`],
] as const;

const refused = [
  ['a control character in a header', `HTTP/1.1 200 X\r\nx-a: \x01\r\n${TAIL}`],
  ['a protocol upgrade', 'HTTP/1.1 101 X\r\nupgrade: x\r\nconnection: upgrade\r\nx-id: r1\r\n\r\n'],
  ['a status below 100', `HTTP/1.1 000 X\r\n${TAIL}`],
  ['a status above 599', `HTTP/1.1 600 X\r\n${TAIL}`],
  ['a status outside all classes', `HTTP/1.1 999 X\r\n${TAIL}`],
  ['two content lengths', `HTTP/1.1 200 X\r\ncontent-length: 2\r\n${TAIL}`],
  ['a content length and chunked encoding', `HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n${TAIL}`],
  ['bytes of another protocol', 'SSH-2.0-x\r\n'],
] as const;

describe('an unusual answer of a server', () => {
  let rig: RelayRig;

  const callShop = async (kind: 'stream' | 'idempotent', text: string): Promise<string> => {
    rig = await RelayRig.start(
      makeRouting({ routes: [makeRoute({ kind, timeoutMs: 1_000, isResumable: true })] }),
      [(server) => server.write(Buffer.from(text, 'latin1'))],
    );
    return rig.send(REQUEST, QUIET_MS);
  };

  const kinds = ['stream', 'idempotent'] as const;

  afterEach(async () => {
    expect([await rig.countOpenRequests(), rig.site.workers.byId.get('w0')?.inFlight]).toEqual([0, 0]);
    await rig.close();
  });

  // Guards against a refusal of such an answer that ends the request.
  it('should be asked for at another server if its status is invalid', async () => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ maxAttempts: 2 })] }), [
      (server) => server.write(`HTTP/1.1 700 X\r\n${TAIL}`),
      (server) => server.write(`HTTP/1.1 200 X\r\n${TAIL}`),
    ]);
    const answers = [await rig.send(REQUEST, QUIET_MS), await rig.send(REQUEST, QUIET_MS)];
    expect(answers.map((text) => text.slice(9, 12))).toEqual(['200', '200']);
  });

  // An exception while the head is processed would leave the caller without an answer and the
  // request open.
  it.each(kinds.flatMap((kind) => passed.map(([name, text]) => [kind, name, text] as const)))('should be passed on: %s, %s', async (kind, name, text) => {
    const status = text.includes('200') ? '200' : text.slice(9, 12);
    expect(await callShop(kind, text)).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'u'));
  });

  // A server answered with a status above 599, which HTTP does not have, and the caller got it.
  it.each(kinds.flatMap((kind) => refused.map(([name, text]) => [kind, name, text] as const)))('should be replaced by a failure: %s, %s', async (kind, name, text) => {
    expect(await callShop(kind, text)).toMatch(/^HTTP\/1.1 502 [^]*\}$/);
  });
});
