import type { FastifyInstance } from 'fastify';

/**
 * Binds an HTTP server to an address from the settings; returns the address with the assigned
 * port.
 *
 * @example
 * const address = await listenOn(app, '127.0.0.1:0');
 */
export const listenOn = async (app: FastifyInstance, address: string): Promise<string> => {
  const split = address.lastIndexOf(':');
  const host = address.slice(0, split).replace(/^\[|\]$/g, '');
  const url = await app.listen({ host, port: Number(address.slice(split + 1)) });
  return url.replace('http://', '');
};
