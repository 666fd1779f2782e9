import type { Socket } from 'node:net';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { callService } from '../../src/entry/sending/serviceClient';
import type { ServiceAnswer } from '../../src/entry/sending/serviceClient';
import { ScriptedServer } from '../fakes/scriptedServer';

const PLAIN = 'content-type: text/plain\r\n';
const EVENTS = 'content-type: text/event-stream; charset=utf-8\r\n';
const PART = 'id: 1\ndata: a\n\n';
const WITHIN_EVENT = `${PART}id: 2\ndata: b\n`;
/** Time between the head of an answer and its end, in milliseconds. */
const STEP_MS = 30;
const LIMIT_MS = 100;
const DEADLINE_HEADER = 'beechlift-deadline-ms';

const starts: readonly [string, string][] = [
  ['HTTP/1.1', 'HTTP/1.1 200 X\r\n'],
  ['HTTP/1.1 that announces the end', 'HTTP/1.1 200 X\r\nconnection: close\r\n'],
  ['HTTP/1.0', 'HTTP/1.0 200 X\r\n'],
];

describe('an answer of a service whose end only the end of its connection marks', () => {
  let server: ScriptedServer;

  afterEach(() => server.close());

  const ask = async (
    script: (socket: Socket) => void,
    headers: Readonly<Record<string, string>> = {},
    method = 'GET',
  ): Promise<ServiceAnswer> => {
    server = new ScriptedServer(script);
    await server.listen();
    return callService({
      address: server.address, method, path: '/', headers, body: Buffer.alloc(0), timeoutMs: 2_000, maxBytes: 1_000,
    });
  };

  /** Ends a server like the operating system ends a process: in an orderly way. */
  const endServer = (bytes: string) => (socket: Socket): void => {
    socket.write(bytes);
    setTimeout(() => server.close(), STEP_MS);
  };

  const closeConnection = (bytes: string, afterMs = STEP_MS) => (socket: Socket): void => {
    socket.write(bytes);
    setTimeout(() => socket.end(), afterMs);
  };

  // Fault: the operating system closes the connections of a service that has ended in an orderly
  // way, and the part that the service had written was passed on, and stored, as its whole answer.
  it.each(starts)('should not be passed on if its service has ended: %s', async (name, start) => {
    await expect(ask(endServer(`${start}${PLAIN}\r\nhalf of it`))).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  it('should not be passed on if its service has ended behind its head', async () => {
    await expect(ask(endServer(`HTTP/1.1 200 X\r\n${PLAIN}\r\n`))).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  // Fault: a stream that stops within an event is incomplete by its own format.
  it.each(starts)('should not be passed on if it stops within an event of a service that runs: %s', async (name, start) => {
    await expect(ask(closeConnection(`${start}${EVENTS}\r\n${WITHIN_EVENT}`))).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  // Fault: a service stops its work at the time limit of the caller, which is passed on to it.
  it('should not be passed on if its service stops at the time limit that the caller named', async () => {
    await expect(ask(
      closeConnection(`HTTP/1.1 200 X\r\n${PLAIN}\r\nhalf of it`, LIMIT_MS + 1),
      { [DEADLINE_HEADER]: String(LIMIT_MS) },
    )).rejects.toMatchObject({ reach: 'maybeSent' });
  });

  // Guards against complete answers of services that run and are taken for parts.
  it.each([
    ['plain', `HTTP/1.1 200 X\r\n${PLAIN}\r\n${WITHIN_EVENT}`, WITHIN_EVENT, 200],
    ['events', `HTTP/1.1 200 X\r\n${EVENTS}\r\n${PART}`, PART, 200],
    ['empty', `HTTP/1.1 200 X\r\n${EVENTS}\r\n`, '', 200],
    ['a failure', `HTTP/1.1 500 X\r\n${EVENTS}\r\nout of order`, 'out of order', 500],
  ])('should be passed on if its service runs: %s', async (name, bytes, text, code) => {
    const { status, body } = await ask(closeConnection(bytes));
    expect([status, body.toString()]).toEqual([code, text]);
  });

  it('should be passed on if its service runs and ends it before the time limit of the caller', async () => {
    const { body } = await ask(closeConnection(`HTTP/1.1 200 X\r\n${PLAIN}\r\nall of it`), { [DEADLINE_HEADER]: '2000' });
    expect(body.toString()).toBe('all of it');
  });

  // Guards against answers that mark their own end and are taken for parts, as their service ends.
  it.each([
    ['with a length', 'GET', 'HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\nall of it', 'all of it'],
    ['in chunks', 'GET', 'HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n', 'all of it'],
    ['to HEAD', 'HEAD', 'HTTP/1.1 200 X\r\n\r\n', ''],
    ['with a status that has no body', 'GET', 'HTTP/1.1 204 X\r\n\r\n', ''],
  ])('should not be checked if its form marks its end: %s', async (name, method, bytes, text) => {
    const { body } = await ask((socket) => {
      socket.end(bytes, () => server.close());
    }, {}, method);
    expect(body.toString()).toBe(text);
  });
});
