import type { IncomingMessage } from 'node:http';

/** Reads the complete body of a request to a fake server. */
export const readBody = async (incoming: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  // eslint-disable-next-line no-restricted-syntax -- a body is read in order
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
};
