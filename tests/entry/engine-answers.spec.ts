import {
  afterEach, describe, expect, it,
} from 'vitest';
import { AnswerRelay } from '../../src/entry/sending/answerRelay';
import { EngineClient } from '../../src/entry/sending/engineClient';
import { EngineFailure } from '../../src/entry/sending/engineFailure';
import { EngineRefusal } from '../../src/entry/sending/engineRefusal';
import { Operation } from '../../src/utils/operation';
import { ScriptedServer } from '../fakes/scriptedServer';

const IDLE_TIMEOUT_MS = 1_000;
const HEAD = 'HTTP/1.1 200 X\r\nconnection: close\r\n\r\n';
const PART = 'id: 0\ndata: a\n\n';

/** What was delivered of a stream, and how it ended. */
interface Relayed {
  readonly events: readonly string[];
  readonly end: string;
}

describe('an answer of an engine', () => {
  const engines = new EngineClient();

  let server: ScriptedServer;

  /** Relays a stream of an engine that gives one answer after the other. */
  const relayStream = async (answers: readonly string[], canResume = false): Promise<Relayed> => {
    server = new ScriptedServer((socket, request, count) => socket.end(answers[count - 1] ?? ''));
    await server.listen();
    const operation = new Operation({ timeoutMs: 2_000 });
    const { signal } = operation;
    const stream = {
      address: server.address, streamId: 's', canResume, headers: {},
    };
    const events: string[] = [];
    try {
      const first = canResume ? undefined : await engines.dispatch({
        ...stream, path: '/', body: '{}', signal,
      }, IDLE_TIMEOUT_MS);
      await new AnswerRelay(engines, stream, operation).run(first, async ({ data }) => {
        events.push(data);
      });
      return { events, end: 'complete' };
    } catch (error) {
      return { events, end: (error as Error).message };
    }
  };

  afterEach(() => server.close());

  // Fault: an answer behind an informational one failed, as its head is the second one.
  it.each([
    ['ids that count from 0', 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n'],
    ['no ids', 'data: a\n\ndata: b\n\n'],
    ['early hints before it', 'data: a\n\ndata: b\n\n', 'HTTP/1.1 103 X\r\nlink: a\r\n\r\n'],
    ['an event that comes twice', 'id: 0\ndata: a\n\nid: 0\ndata: a\n\nid: 1\ndata: b\n\n'],
  ])('should be passed on whole: %s', async (name, text, informational = '') => {
    expect(await relayStream([`${informational}${HEAD}${text}data: [DONE]\n\n`])).toEqual({ events: ['a', 'b'], end: 'complete' });
  });

  // Fault: events whose ids are no offsets were dropped without a word, as ones that had been
  // passed on before, so an empty or short answer looked complete.
  it.each([
    ['names', 'id: a\ndata: a\n\nid: b\ndata: b\n\n'],
    ['empty', 'id: \ndata: a\n\nid: \ndata: b\n\n'],
    ['a negative number', 'id: -1\ndata: a\n\n'],
    ['a fraction', 'id: 0.5\ndata: a\n\n'],
    ['a number with an exponent', 'id: 0e0\ndata: a\n\n'],
  ])('should fail if its ids are no offsets: %s', async (name, text) => {
    const { end } = await relayStream([`${HEAD}${text}data: [DONE]\n\n`]);
    expect(end).toMatch(/broke and could not be resumed$/);
  });

  // Guards against a part that counts as complete because its frame is: only the last event ends a
  // stream.
  it.each([
    ['with a length', `HTTP/1.1 200 X\r\ncontent-length: ${PART.length}\r\n\r\n${PART}`],
    ['in chunks', `HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n${PART.length.toString(16)}\r\n${PART}\r\n0\r\n\r\n`],
    ['without a length', `${HEAD}${PART}`],
    ['without the empty line behind the last event', `${HEAD}${PART}data: [DONE]\n`],
    ['without any event', 'HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n'],
  ])('should fail without its last event, and be resumed where it can be: %s', async (name, answer) => {
    const failed = await relayStream([answer]);
    server.close();
    expect(failed.end).toMatch(/broke and could not be resumed$/);
    const rest = [HEAD, ...(answer.includes(PART) ? [] : [PART]), 'id: 1\ndata: b\n\ndata: [DONE]\n\n'].join('');
    expect(await relayStream([answer, rest], true)).toEqual({ events: ['a', 'b'], end: 'complete' });
  });

  // Fault: a refusal whose body breaks off was no failure of the connection, so a stream that can
  // be resumed ended with an internal error.
  it.each([404, 503])('should be asked for again if the body of a refusal breaks off: status %i', async (status) => {
    const refusal = `HTTP/1.1 ${status} X\r\ncontent-length: 100\r\n\r\nabc`;
    const answers = [refusal, `${HEAD}data: a\n\ndata: [DONE]\n\n`];
    expect(await relayStream(answers, true)).toEqual({ events: ['a'], end: 'complete' });
  });

  /** Starts a stream at an engine that writes `start` and then goes on without end. */
  const dispatchEndless = async (start: string): Promise<unknown> => {
    server = new ScriptedServer((socket) => {
      socket.write(start);
      const timer = setInterval(() => socket.write(Buffer.alloc(65_536, 'x')), 1);
      socket.on('close', () => clearInterval(timer));
    });
    await server.listen();
    const { signal } = new Operation({ timeoutMs: 2_000 });
    const events = await engines.dispatch({
      address: server.address, streamId: 's', headers: {}, path: '/', body: '{}', signal,
    }, IDLE_TIMEOUT_MS);
    return events.next();
  };

  // Guards against an entry that runs out of memory as it keeps all that an engine sends.
  it.each([
    ['a refusal', 'HTTP/1.1 503 X\r\nconnection: close\r\n\r\n', EngineRefusal, /status 503$/],
    ['an event', `${HEAD}data: `, EngineFailure, /max buffer size/],
  ])('should not be read to its end if it has none: %s', async (name, start, type, message) => {
    const error = await dispatchEndless(start).catch((thrown: unknown) => thrown);
    expect(error).toBeInstanceOf(type);
    expect((error as Error).message).toMatch(message);
    await expect.poll(() => server.closedCount).toBeGreaterThan(0);
    expect(server.requests).toHaveLength(1);
  });
});
