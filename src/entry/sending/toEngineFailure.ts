import { EngineFailure } from './engineFailure';

/** Errors of opening a connection, before anything of the request was written. */
const NOT_SENT_CODES: readonly string[] = [
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL',
];

/**
 * Turns what a connection to a backend server threw into a failure that tells whether anything can
 * have arrived there.
 *
 * @example
 * try { await request(url, options); } catch (error) { throw toEngineFailure(error); }
 */
export const toEngineFailure = (error: unknown): EngineFailure => {
  const code = String((error as { code?: unknown }).code ?? '');
  const reach = NOT_SENT_CODES.includes(code) ? 'notSent' : 'maybeSent';
  return new EngineFailure(reach, (error as Error).message, { cause: error });
};
