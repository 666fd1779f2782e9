import { EngineFailure } from './engineFailure';

/** Errors that occur while the connection is opened, before any byte of the request is written. */
const NOT_SENT_CODES: readonly string[] = [
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL',
];

/**
 * Converts the error of a connection to a backend server into a failure with its reach: whether
 * anything can have arrived there.
 *
 * @example
 * try { await request(url, options); } catch (error) { throw toEngineFailure(error); }
 */
export const toEngineFailure = (error: unknown): EngineFailure => {
  const code = String((error as { code?: unknown }).code ?? '');
  const reach = NOT_SENT_CODES.includes(code) ? 'notSent' : 'maybeSent';
  return new EngineFailure(reach, (error as Error).message, { cause: error });
};
