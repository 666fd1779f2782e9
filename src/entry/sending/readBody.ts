import type { Dispatcher } from 'undici';
import { ByteCollector } from '../../utils/byteCollector';

/**
 * Reads the body of a backend server's answer until it ends or exceeds a size; what follows is not
 * received, and the connection is closed.
 *
 * @returns more than `maxBytes` bytes if the body exceeds them
 * @example
 * const bytes = await readBody(response.body, 65_536);
 */
export const readBody = async (
  body: Dispatcher.ResponseData['body'],
  maxBytes: number,
): Promise<Buffer> => {
  const collector = new ByteCollector();
  // eslint-disable-next-line no-restricted-syntax -- a body is read in order
  for await (const piece of body) {
    collector.add(piece as Buffer);
    // Leaving the loop destroys the body.
    if (collector.length > maxBytes) break;
  }
  return collector.take();
};
