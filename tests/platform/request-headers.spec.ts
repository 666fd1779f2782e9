import { describe, expect, it } from 'vitest';
import { platformDialect } from '../../platform/requestHeaders';

const readAnswer = (...headers: string[]) => platformDialect.readAnswer(headers);

describe('the answer headers about the state of a server', () => {
  it.each([
    ['3', 3_000], ['0.25', 250], [' 2 ', 2_000], ['3600', 3_600_000],
  ])('should be decoded to a backoff in seconds from "%s"', (text, restMs) => {
    expect(readAnswer('Retry-After', text).restMs).toBe(restMs);
  });

  // Guards against an invalid time of a faulty server, which would stop all requests to it.
  it.each([
    '', '0', '-3', '1e9', 'Infinity', 'NaN', '0x10', 'soon', '3 s', 'Fri, 17 Apr 2026 14:25:00 GMT',
  ])('should be decoded to no backoff from "%s"', (text) => {
    expect(readAnswer('Retry-After', text).restMs).toBe(0);
  });

  it('should report a leaving server only for the value 1', () => {
    expect(readAnswer('Server-Leaving', '1').isLeaving).toBe(true);
    expect(['0', '', 'no'].map((text) => readAnswer('server-leaving', text).isLeaving))
      .toEqual([false, false, false]);
  });

  it.each([['1.4', 1.4], [' 12 ', 12], ['0', 0]])('should report a rate limit in requests per second: "%s"', (text, perSecond) => {
    expect(readAnswer('Server-Limit', text).limitPerSecond).toBe(perSecond);
  });

  // A limit that can't be read must neither begin a limit nor end the one in force.
  it.each(['-1', '1e3', 'many', '', '1.'])('should report a rate limit as unreadable: "%s"', (text) => {
    expect(readAnswer('Server-Limit', text).limitPerSecond).toBeNaN();
  });

  it('should report how many requests a second a brittle server can turn away', () => {
    expect(readAnswer('Server-Brittle', '12').turnAwayLimit).toBe(12);
    expect(readAnswer('server-brittle', 'few').turnAwayLimit).toBeNaN();
  });

  it('should report nothing if an answer has none of these headers', () => {
    expect(readAnswer('Not-Executed', '1')).toMatchObject({
      restMs: 0, isLeaving: false, limitPerSecond: 0, turnAwayLimit: 0,
    });
  });
});

describe('the parts of a prompt', () => {
  const readParts = (value?: string): readonly string[] => platformDialect
    .readRequest(value === undefined ? [] : ['Prompt-Prefix', value]).promptParts;

  it('should be read without the last one, which belongs to the request', () => {
    expect(readParts('5c1e07a2:800,91BD3F06:410,e4402b7d:250')).toEqual(['5c1e07a2', '91bd3f06']);
    expect(readParts(' 5c , 91:4 ,e4')).toEqual(['5c', '91']);
    expect(readParts('5c1e07a2:800')).toEqual([]);
  });

  it('should be bounded, and left out if they cannot be read', () => {
    expect(readParts()).toEqual([]);
    expect(readParts('zz:1,,5c:x,91:4,e4:1')).toEqual(['91']);
    expect(readParts(Array.from({ length: 5_000 }, (unused, id) => id.toString(16)).join(','))).toHaveLength(32);
  });
});

describe('the token counts of a request', () => {
  const readTokens = (text: string): unknown => (
    platformDialect.readRequest(['Token-Count', text]).tokens);

  // Guards against a count that can't be encoded: it broke the entry's stream to the leader.
  it.each(['1.5,80', '1e300,80', '-3,80', '0,80'])('should be ignored if the prompt is invalid: "%s"', (text) => {
    expect(readTokens(text)).toBeUndefined();
  });

  it.each(['60,0.5', '60,1e300', '60,-80', '60,x'])('should have no output if that is invalid: "%s"', (text) => {
    expect(readTokens(text)).toEqual({ prompt: 60, output: 0, expected: 0 });
  });
});
