import type { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { AnswerRelay } from '../../src/entry/sending/answerRelay';
import { EngineClient } from '../../src/entry/sending/engineClient';
import { callService } from '../../src/entry/sending/serviceClient';
import { Operation } from '../../src/utils/operation';
import {
  classifyCut, listCuts, makeCutAnswers, writeCut,
} from '../fakes/cutAnswers';
import type { CutAnswer, CutEnd } from '../fakes/cutAnswers';
import { ScriptedServer } from '../fakes/scriptedServer';

const EVENTS = ['id: 0\ndata: a\n\n', 'id: 1\ndata: b\n\n', 'data: [DONE]\n\n'];
const STREAM = EVENTS.join('');
const BODY = 'the answer of a service';
const LATER_MS = 3;
const TIMEOUT_MS = 5_000;
const PARALLEL = 24;

const breakOff = (socket: Socket): void => {
  socket.destroy();
};

const ends: readonly [CutEnd, (socket: Socket) => void][] = [
  ['closed', (socket) => socket.end()],
  ['reset', (socket) => socket.resetAndDestroy()],
];

/** One answer that is cut off, the id of its request, and what it counts as. */
interface CutCase {
  readonly id: string;
  readonly answer: CutAnswer;
  readonly cut: number;
  readonly result: ReturnType<typeof classifyCut>;
}

/** Answers carry no ids at this interface, so an answer to another request isn't told apart. */
const makeCases = (content: string, end: CutEnd): CutCase[] => makeCutAnswers(content)
  .filter(({ prefix }) => !prefix.includes(' 200 '))
  .flatMap((answer) => listCuts(answer).map((cut) => ({
    answer, cut, result: classifyCut(answer, cut, end),
  })))
  .map((found, position) => ({ ...found, id: `c${String(position).padStart(7, '0')}` }));

/** Checks all cases, some at a time; returns what is wrong. */
const checkCases = async (
  cases: readonly CutCase[],
  check: (found: CutCase) => Promise<string>,
): Promise<string[]> => {
  const left = [...cases];
  const faults: string[] = [];
  const checkNext = async (): Promise<void> => {
    const found = left.pop();
    if (!found) return;
    const fault = await check(found);
    if (fault !== '') faults.push(`${found.answer.name}, cut at ${found.cut}: ${fault}`);
    await checkNext();
  };
  await Promise.all(Array.from({ length: PARALLEL }, () => checkNext()));
  return faults;
};

/** Starts a server that cuts the first answer to each id off, and answers further ones whole. */
const startServer = async (
  cases: readonly CutCase[],
  endConnection: (socket: Socket) => void,
  answerAgain: (socket: Socket, request: string) => void,
): Promise<[ScriptedServer, Map<string, number>]> => {
  const byId = new Map(cases.map((found) => [found.id, found]));
  const attempts = new Map<string, number>();
  const server = new ScriptedServer((socket, request) => {
    const id = /c\d{7}/.exec(request)?.[0] ?? '';
    const attempt = (attempts.get(id) ?? 0) + 1;
    const found = byId.get(id);
    attempts.set(id, attempt);
    if (!found || attempt > 1) {
      answerAgain(socket, request);
      return;
    }
    socket.write(writeCut(found.answer, found.cut, id));
    if (found.cut % 2 === 0) endConnection(socket);
    else setTimeout(() => endConnection(socket), LATER_MS);
  });
  await server.listen();
  return [server, attempts];
};

describe('an answer of a service that is cut off at any byte', () => {
  // Guards against a part of an answer that is passed on as whole, and a call that is sent twice.
  it.each(ends)('should be passed on only if it is whole: %s', async (end, endConnection) => {
    const cases = makeCases(BODY, end);
    const [server, attempts] = await startServer(cases, endConnection, breakOff);
    const faults = await checkCases(cases, async ({
      id, answer, cut, result,
    }) => {
      const body = answer.size === undefined ? BODY.slice(0, cut - answer.head.length) : BODY;
      const received = await callService({
        address: server.address, method: 'GET', path: `/${id}`, headers: {}, body: Buffer.alloc(0), timeoutMs: TIMEOUT_MS, maxBytes: 1_000,
      }).then((whole) => whole.body.toString(), (error: { reach?: string }) => error.reach ?? 'other');
      if (attempts.get(id) !== 1) return 'sent again';
      const allowed = {
        whole: [body], either: [body, 'maybeSent'], part: ['maybeSent'],
      }[result];
      return allowed.includes(received) ? '' : `received ${received}`;
    });
    server.close();
    expect(faults).toEqual([]);
  });
});

describe('a stream of an engine that is cut off at any byte', () => {
  const runStream = async (
    engines: EngineClient,
    address: string,
    streamId: string,
    canResume: boolean,
  ): Promise<string> => {
    const operation = new Operation({ timeoutMs: TIMEOUT_MS });
    const relay = new AnswerRelay(engines, {
      address, streamId, canResume, headers: {},
    }, operation);
    const delivered: string[] = [];
    try {
      const first = await engines.dispatch({
        address, streamId, path: '/', body: '{}', headers: {}, signal: operation.signal,
      }, TIMEOUT_MS).catch((error: unknown) => {
        if (canResume) return undefined;
        throw error;
      });
      await relay.run(first, async ({ data }) => {
        delivered.push(data);
      });
      return `complete: ${delivered.join('')}`;
    } catch {
      return 'failed';
    }
  };

  // Guards against a part of a stream that counts as complete, and a stream that is sent twice.
  it.each(ends)('should be complete only if it is whole: %s', async (end, endConnection) => {
    const cases = makeCases(STREAM, end);
    const engines = new EngineClient();
    const [server, attempts] = await startServer(cases, endConnection, breakOff);
    const faults = await checkCases(cases, async ({ id, answer, result }) => {
      const received = await runStream(engines, server.address, id, false);
      if (attempts.get(id) !== 1) return 'sent again';
      // The last event ends a stream, whatever the end of its frame.
      const mustBeWhole = result === 'whole' && answer.size !== undefined;
      const allowed = mustBeWhole ? ['complete: ab'] : ['complete: ab', 'failed'];
      return allowed.includes(received) ? '' : `received ${received}`;
    });
    await engines.close();
    server.close();
    expect(faults).toEqual([]);
  });

  // Guards against events that are lost or come twice where a stream is resumed.
  it.each(ends)('should be resumed until it is whole: %s', async (end, endConnection) => {
    const cases = makeCases(STREAM, end);
    const engines = new EngineClient();
    const [server] = await startServer(cases, endConnection, (socket, request) => {
      const rest = EVENTS.slice(Number(/from=(\d)/.exec(request)?.[1] ?? 0)).join('');
      socket.end(`HTTP/1.1 200 X\r\ncontent-length: ${rest.length}\r\n\r\n${rest}`);
    });
    const faults = await checkCases(cases, async ({ id }) => {
      const received = await runStream(engines, server.address, id, true);
      return received === 'complete: ab' ? '' : `received ${received}`;
    });
    await engines.close();
    server.close();
    expect(faults).toEqual([]);
  });
});
