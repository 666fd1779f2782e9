import {
  afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import { request } from 'undici';
import { makeExpectedText } from '../fakes/engineModel';
import {
  API_KEY, hashKey, makeManifest, TestSite,
} from '../fakes/testSite';

/** JSON but for one byte of a string. */
const INVALID_TEXT = Buffer.concat([
  Buffer.from('{"model":"guide","prompt":"'), Buffer.from([0xFF]), Buffer.from('","max_tokens":2}'),
]);

describe('an entry towards callers', () => {
  const site = new TestSite();
  const post = async (
    path: string,
    body: string | Buffer,
    headers: Record<string, string> = {},
  ) => {
    const response = await request(`http://${site.entries[0]?.address}${path}`, {
      method: 'POST', body, headers: { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json', ...headers },
    });
    const answer = await response.body.json() as { error: { code: number; run: string } };
    return { status: response.statusCode, headers: response.headers, body: answer };
  };
  const makeBody = (fields: object = {}) => JSON.stringify({
    model: 'guide', prompt: 'hello', max_tokens: 2, ...fields,
  });

  beforeAll(async () => {
    await site.start(1, 2, makeManifest(1, {
      accounts: {
        kiosks: { keyHashes: [hashKey(API_KEY)], tiers: ['door', 'history'], concurrency: 200 },
        narrow: { keyHashes: [hashKey('narrow')], tiers: ['history'], concurrency: 1 },
      },
      limits: { bodyBytes: 2_048, locateMs: 300 },
    }));
    await site.addEngine('g1', { slots: 4 });
  });
  afterAll(() => site.stop());

  it.each([
    ['an unknown key', '/v1/completions', makeBody(), { authorization: 'Bearer nobody' }, 401, 1003],
    ['malformed JSON', '/v1/completions', '{"model":', {}, 400, 1001],
    ['a prompt that is not valid UTF-8', '/v1/completions', INVALID_TEXT, {}, 400, 1001],
    ['an announcement that is not valid UTF-8', '/v1/announce', INVALID_TEXT, {}, 400, 1001],
    ['a body that is no object', '/v1/completions', '[]', {}, 400, 1002],
    ['a chat without messages', '/v1/chat/completions', makeBody(), {}, 400, 1002],
    ['an unknown model', '/v1/completions', makeBody({ model: 'other' }), {}, 404, 1005],
    ['an unknown service', '/services/other/x', '', {}, 404, 1006],
    ['an unknown path', '/v2/x', '', {}, 404, 1007],
    [
      'a body over its bound',
      '/v1/completions',
      makeBody({ prompt: 'x'.repeat(3_000) }),
      {},
      413,
      1008,
    ],
    ['a tier that is not granted', '/v1/completions', makeBody(), { authorization: 'Bearer narrow', 'beechlift-tier': 'door' }, 403, 1004],
    ['a non-idempotent request without a key', '/v1/completions', makeBody(), { 'beechlift-non-idempotent': 'true' }, 400, 1010],
    [
      'a deadline that is no number',
      '/v1/completions',
      makeBody(),
      { 'beechlift-deadline-ms': 'soon' },
      400,
      1002,
    ],
    ['tokens below one', '/v1/completions', makeBody({ max_tokens: -3 }), {}, 400, 1002],
    ['headers over their bound', '/v1/completions', makeBody(), { 'x-long': 'x'.repeat(40_000) }, 431, 1013],
    ['an announcement that is no JSON', '/v1/announce', 'x', {}, 400, 6001],
    ['an announcement for an unknown pool', '/v1/announce', JSON.stringify({
      id: 'x', pool: 'no', address: '127.0.0.1:1', kind: 'model', slots: 1, state: 'ready',
    }), {}, 404, 6003],
  ])('should refuse %s with its code and go on', async (title, path, body, headers, status, code) => {
    const answer = await post(path, body, headers);
    expect(
      [answer.status, answer.body.error.code, answer.body.error.run],
    ).toEqual([status, code, 'notRun']);
    expect((await post('/v1/completions', makeBody())).status).toBe(200);
  });

  it('should refuse a key that was used with another body', async () => {
    const [entry] = site.entries;
    if (!entry) throw new Error('no entry');
    expect((await site.send(entry, 'one', { key: 'k1' })).status).toBe(200);
    const answer = await site.send(entry, 'two', { key: 'k1' });
    expect([answer.status, answer.body.error?.name]).toEqual([422, 'keyReused']);
  });

  it('should refuse an account beyond its concurrency, with a Retry-After header', async () => {
    const [entry] = site.entries;
    if (!entry) throw new Error('no entry');
    const long = site.send(entry, 'long', { apiKey: 'narrow', tokens: 200 });
    const waitFor = async (): Promise<number> => (await site.readStatus(entry)).open || waitFor();
    await waitFor();
    const answer = await post('/v1/completions', makeBody(), { authorization: 'Bearer narrow' });
    expect([answer.status, answer.body.error.code]).toEqual([429, 1011]);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect((await long).text).toBe(makeExpectedText('long', 200));
  });
});
