import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { BeechliftError } from '../../errors/beechliftError';
import { systemClock } from '../../utils/clock';
import { readFraming } from '../../wire/answerFraming';
import type { AnswerFraming } from '../../wire/answerFraming';
import { isValidStatus } from '../../wire/isValidStatus';
import { checkAnswerEnd } from './checkAnswerEnd';
import { EngineFailure } from './engineFailure';
import { readBody } from './readBody';
import { ServerConnection } from './serverConnection';
import { toEngineFailure } from './toEngineFailure';

/** A call to a plain service. */
export interface ServiceCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly timeoutMs: number;
  readonly maxBytes: number;
}

/** The answer of a service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

const NOT_FORWARDED_HEADERS: readonly string[] = [
  'connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'host',
  'proxy-authorization', 'authorization', 'expect',
];

/** Returns the headers to forward: without the API key and those that apply to one connection. */
export const pickForwardedHeaders = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> => Object.fromEntries(
  Object.entries(headers)
    .filter(([name, value]) => value !== undefined
      && !NOT_FORWARDED_HEADERS.includes(name.toLowerCase()))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value ?? '']),
);

const readAnswer = async (
  body: Dispatcher.ResponseData['body'],
  maxBytes: number,
): Promise<Buffer> => {
  const bytes = await readBody(body, maxBytes);
  if (bytes.length <= maxBytes) return bytes;
  throw new BeechliftError('answerTooLarge', `the answer of the service exceeds the limit of ${maxBytes} bytes`);
};

const findFraming = (
  method: string,
  { statusCode: status, headers }: Dispatcher.ResponseData,
): AnswerFraming => readFraming(method, {
  status, headers: Object.entries(headers).flatMap(([name, value]) => [name, String(value)]),
});

/**
 * Calls a plain service over a new connection.
 *
 * A pooled connection can break unnoticed while it is idle. A call that may not be repeated would
 * then be lost, and it would be unknown whether it ran.
 *
 * @example
 * const answer = await callService({ address, method: 'GET', path: '/tags/7', … });
 */
export const callService = async (call: ServiceCall): Promise<ServiceAnswer> => {
  const client = new ServerConnection(`http://${call.address}`, {
    headersTimeout: call.timeoutMs,
    bodyTimeout: call.timeoutMs,
  });
  const sentAt = systemClock.now();
  try {
    const response = await request(`http://${call.address}${call.path}`, {
      method: call.method,
      headers: call.headers,
      body: call.body.length > 0 ? call.body : null,
      dispatcher: client,
    });
    const { statusCode: status, headers } = response;
    if (!isValidStatus(status)) throw new EngineFailure('maybeSent', `the service answered with status ${status}, which is not within 100 to 599`);
    const framing = findFraming(call.method, response);
    // The HTTP client fails an answer without a body whose head names the length of one.
    if (framing === 'none') await response.body.dump();
    const body = framing === 'none' ? Buffer.alloc(0) : await readAnswer(response.body, call.maxBytes);
    if (framing === 'closeDelimited') await checkAnswerEnd(call, sentAt, client.wasEndedEarly, { status, headers, body });
    return { status, headers: pickForwardedHeaders(headers), body };
  } catch (error) {
    throw error instanceof BeechliftError || error instanceof EngineFailure
      ? error
      : toEngineFailure(error);
  } finally {
    client.destroy().catch(() => undefined);
  }
};
