import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { RawCaller } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';

const RAISED_BYTES = 131_072;
const LONG_BYTES = 70_000;

const makeRequest = (id: string, padBytes: number) => ({
  id, path: '/orders/7', headers: { 'x-key': 'k1', 'x-pad': 'p'.repeat(padBytes) },
});

describe('a limit on heads that a new document raises', () => {
  const routing = makeRouting({});

  let rig: RelayRig;

  let callers: RawCaller[] = [];

  const open = async (): Promise<RawCaller> => {
    const caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    callers.push(caller);
    return caller;
  };

  const raiseLimit = (): void => rig.replaceRouting({
    ...routing, version: 2n, limits: { ...routing.limits, headerBytes: RAISED_BYTES },
  });

  beforeEach(async () => {
    rig = await RelayRig.start(routing, [(socket, request) => {
      if (request.endsWith('\r\n\r\n')) sendAnswer(socket, 'r2', 'fine');
    }]);
  });

  afterEach(async () => {
    callers.forEach((caller) => caller.close());
    callers = [];
    await rig.close();
  });

  // A document raised the limit, and requests within it were refused with 431.
  it('should allow what the document allows', async () => {
    raiseLimit();
    const caller = await open();
    expect(await caller.send(makeRequest('r2', LONG_BYTES))).toMatchObject({ answer: { status: 200, body: 'fine' } });
    expect(await (await open()).send(makeRequest('r3', RAISED_BYTES))).toMatchObject({ answer: { status: 431 } });
  });

  // Guards against a connection that was opened under the lower limit: 431 is not repeated.
  it('should send a caller with an older connection to a new one', async () => {
    const caller = await open();
    expect(await caller.send(makeRequest('r2', 10))).toMatchObject({ answer: { status: 200 } });
    raiseLimit();
    expect(await caller.send(makeRequest('r2', LONG_BYTES))).toMatchObject({
      answer: { status: 503, headers: { 'retry-after': '0', connection: 'close' } },
    });
    expect(await (await open()).send(makeRequest('r2', LONG_BYTES))).toMatchObject({ answer: { status: 200 } });
  });
});
