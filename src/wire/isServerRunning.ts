import type { buildConnector } from 'undici';
import { probeAddress } from './probeAddress';

/**
 * Returns whether a server accepts a connection from now on, or resets it because it has too many;
 * false if its process has ended, or if it does not answer. Never rejects.
 *
 * @example
 * const isRunning = await isServerRunning(openNetworkSocket, '10.0.0.9:8080');
 */
export const isServerRunning = async (
  connect: buildConnector.connector,
  address: string,
): Promise<boolean> => {
  const error = await probeAddress(connect, address);
  return error === undefined || error.code === 'ECONNRESET';
};
