import { BODILESS_STATUSES } from './bodilessStatuses';
import { findHeader, listPairs } from './rawHeaders';
import type { RawHeaders } from './rawHeaders';

/** What the framing of a body depends on, beside the method. */
interface FramedHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/**
 * What marks the end of an answer's body (RFC 9112, section 6.3). `closeDelimited`: only the end
 * of the connection, which says nothing about whether the server has written its whole answer.
 */
export type AnswerFraming = 'none' | 'length' | 'chunked' | 'closeDelimited';

const LAST_CODING_IS_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/**
 * Returns what marks the end of the body that follows a head.
 *
 * @param method method of the request
 * @example
 * readFraming('GET', { status: 200, headers: ['Content-Length', '4'] }); // 'length'
 */
export const readFraming = (method: string, { status, headers }: FramedHead): AnswerFraming => {
  if (method === 'HEAD' || BODILESS_STATUSES.includes(status)) return 'none';
  const codings = listPairs(headers)
    .findLast(([name]) => name.toLowerCase() === 'transfer-encoding')?.[1];
  if (codings !== undefined) return LAST_CODING_IS_CHUNKED.test(codings) ? 'chunked' : 'closeDelimited';
  return findHeader(headers, 'content-length') === undefined ? 'closeDelimited' : 'length';
};
