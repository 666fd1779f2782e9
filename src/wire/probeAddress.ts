import type { buildConnector } from 'undici';

/**
 * Opens a connection to a server and closes it at once; resolves with the error if it does not
 * open. Never rejects.
 *
 * @example
 * const error = await probeAddress(openNetworkSocket, '10.0.0.9:8080');
 * const hasEnded = error?.code === 'ECONNREFUSED';
 */
export const probeAddress = (
  connect: buildConnector.connector,
  address: string,
): Promise<NodeJS.ErrnoException | undefined> => new Promise((resolve) => {
  const colon = address.lastIndexOf(':');
  const hostname = address.slice(0, colon);
  const port = address.slice(colon + 1);
  connect({
    hostname, port, protocol: 'http:', host: address,
  }, (...[error, socket]) => {
    socket?.destroy();
    resolve(error ?? undefined);
  });
});
