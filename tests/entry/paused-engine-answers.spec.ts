import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { EngineClient } from '../../src/entry/sending/engineClient';
import type { EngineEvent } from '../../src/entry/sending/engineClient';
import { ScriptedServer } from '../fakes/scriptedServer';

const IDLE_TIMEOUT_MS = 1_000;
/** The caller takes nothing for this time, in which the connection of the engine ends. */
const PAUSED_MS = 60;
const STEP_MS = 20;
const RESULT_MS = 2_000;

/** Sizes around those at which the HTTP client pauses an answer that nobody takes. */
const sizes: readonly number[] = [100, 40_000, 65_536, 100_000, 400_000];

const heads: readonly [string, string][] = [
  ['HTTP/1.1 that closes', 'HTTP/1.1 200 X\r\nconnection: close\r\n\r\n'],
  ['HTTP/1.0', 'HTTP/1.0 200 X\r\n\r\n'],
  ['HTTP/1.1 without a length', 'HTTP/1.1 200 X\r\n\r\n'],
];

const ends: readonly [string, (socket: Socket) => void][] = [
  ['closed', (socket) => socket.end()],
  ['reset', (socket) => socket.resetAndDestroy()],
];

const cases = heads.flatMap(([form, head]) => (
  ends.flatMap(([verb, end]) => sizes.map((size) => [form, verb, size, head, end] as const))));

describe('an engine whose connection ends while its answer is not taken', () => {
  let server: ScriptedServer;

  let engines: EngineClient;

  let uncaught: string[];

  const recordUncaught = (error: Error): void => {
    uncaught.push(error.message);
  };

  beforeEach(() => {
    engines = new EngineClient();
    uncaught = [];
    process.on('uncaughtException', recordUncaught);
  });

  afterEach(async () => {
    process.off('uncaughtException', recordUncaught);
    server.close();
    // A client whose assertion has failed never closes.
    await Promise.race([engines.close(), pause(PAUSED_MS)]);
  });

  const open = async (script: (socket: Socket) => void): Promise<AsyncGenerator<EngineEvent>> => {
    server = new ScriptedServer(script);
    await server.listen();
    return engines.dispatch({
      address: server.address, streamId: 's', path: '/', body: '{}', headers: {}, signal: new AbortController().signal,
    }, IDLE_TIMEOUT_MS);
  };

  /** Takes all events slowly; returns their number and why they ended. */
  const takeAll = async (events: AsyncGenerator<EngineEvent>): Promise<[number, string]> => {
    let count = 0;
    try {
      // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
      for await (const { data } of events) {
        if (data.length > 0) count += 1;
        await pause(PAUSED_MS);
      }
      return [count, 'complete'];
    } catch (error) {
      return [count, (error as Error).name];
    }
  };

  const takeInTime = (events: AsyncGenerator<EngineEvent>): Promise<[number, string]> => (
    Promise.race([takeAll(events), pause(RESULT_MS, [0, 'none'] as [number, string])]));

  // Fault: the HTTP client fails an assertion if a connection ends whose answer is paused, which
  // ended the process of the entry.
  it.each(cases)('should fail the stream and nothing else: %s, %s after events of %i bytes', async (form, verb, size, head, end) => {
    const events = await open((socket) => {
      socket.write(`${head}${`data: ${'x'.repeat(size)}\n\n`.repeat(3)}`);
      setTimeout(() => end(socket), STEP_MS);
    });
    const [, result] = await takeInTime(events);
    expect([result, uncaught]).toEqual(['EngineFailure', []]);
  });

  // Guards against a paused answer of which a part is lost: without a length, the end of its
  // connection follows the bytes at once.
  it.each(heads.flatMap(([form, head]) => sizes.map((size) => [form, size, head] as const)))('should pass on a whole stream: %s, events of %i bytes', async (form, size, head) => {
    const events = await open((socket) => {
      socket.end(`${head}${`data: ${'x'.repeat(size)}\n\n`.repeat(3)}data: [DONE]\n\n`);
    });
    expect([...await takeInTime(events), uncaught]).toEqual([3, 'complete', []]);
  });
});
