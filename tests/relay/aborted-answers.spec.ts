import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\r\n';
const OUTCOME_UNKNOWN = 3001;

describe('an answer that a server breaks off', () => {
  let rig: RelayRig;

  const count = async (name: 'abortedAnswers' | 'refusals'): Promise<unknown> => (
    (await rig.metrics[name].get()).values.map(({ labels, value }) => [labels.code, value]));

  const callShop = async (answer: string): Promise<void> => {
    rig = await RelayRig.start(
      makeRouting({ routes: [makeRoute({ kind: 'stream', maxAttempts: 1 })] }),
      [(socket) => socket.end(answer)],
    );
    await rig.send(REQUEST);
  };

  afterEach(() => rig.close());

  // Without this metric, an answer that was cut off is indistinguishable from a refusal.
  it.each([
    ['as aborted once its head was sent', 'HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-length: 9\r\n\r\na', [[OUTCOME_UNKNOWN, 1]], []],
    ['as refused before that', 'HTTP/1.1 200 X\r\nx-id: r1\r\n', [], [[OUTCOME_UNKNOWN, 1]]],
  ])('should be counted %s', async (name, answer, aborted, refused) => {
    await callShop(answer);
    expect([await count('abortedAnswers'), await count('refusals')]).toEqual([aborted, refused]);
  });
});
