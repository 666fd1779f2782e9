import type { buildConnector } from 'undici';
import { probeAddress } from './probeAddress';

/** Errors of a connection to an address at which no process accepts it. */
const GONE_CODES: readonly (string | undefined)[] = [
  'ECONNREFUSED', 'ETIMEDOUT', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN',
];

/**
 * Returns whether a server may still run; false if its process has ended, or if it does not answer.
 * A server that has too many connections resets further ones, and this process may have none left:
 * neither tells that the server has ended. Never rejects.
 *
 * @example
 * const isRunning = await isServerRunning(openNetworkSocket, '10.0.0.9:8080');
 */
export const isServerRunning = async (
  connect: buildConnector.connector,
  address: string,
): Promise<boolean> => {
  const error = await probeAddress(connect, address);
  return !GONE_CODES.includes(error?.code);
};
