import { describe, expect, it } from 'vitest';
import { platformDialect } from '../../platform/requestHeaders';

const readAnswer = (...headers: string[]) => platformDialect.readAnswer(headers);

describe('what a server says of itself in the headers of an answer', () => {
  it.each([
    ['3', 3_000], ['0.25', 250], [' 2 ', 2_000], ['3600', 3_600_000],
  ])('should be read as a rest of seconds from "%s"', (text, restMs) => {
    expect(readAnswer('Retry-After', text).restMs).toBe(restMs);
  });

  // Guards against a time that a faulty server names, which would keep all requests from it.
  it.each([
    '', '0', '-3', '1e9', 'Infinity', 'NaN', '0x10', 'soon', '3 s', 'Fri, 17 Apr 2026 14:25:00 GMT',
  ])('should be no rest where it is "%s"', (text) => {
    expect(readAnswer('Retry-After', text).restMs).toBe(0);
  });

  it('should tell that it leaves by the value 1 alone', () => {
    expect(readAnswer('Server-Leaving', '1').isLeaving).toBe(true);
    expect(['0', '', 'no'].map((text) => readAnswer('server-leaving', text).isLeaving))
      .toEqual([false, false, false]);
  });

  it('should be nothing where an answer has neither header', () => {
    expect(readAnswer('Not-Executed', '1')).toMatchObject({ restMs: 0, isLeaving: false });
  });
});
