import { createServer } from 'node:net';

const HOST = '127.0.0.1';

/*
 * Below the range from which the machine takes ports for outgoing connections: a port that was
 * free when it was looked for was taken by a connection since, and a process could not start.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_RANGE = 500;
const RANGES = 38;

const listenAt = (port: number, keepsListening: boolean): Promise<boolean> => new Promise((resolve) => {
  const server = createServer();
  server.once('error', () => resolve(false));
  server.listen(port, HOST, () => {
    if (!keepsListening) {
      server.close(() => resolve(true));
      return;
    }
    server.unref();
    resolve(true);
  });
});

/**
 * Claims a range of ports for this process, by listening at its first one until the process ends:
 * test processes of several runs beside each other never look for ports in the same range.
 */
const claimRange = async (range = 0): Promise<number> => {
  if (range >= RANGES) throw new Error(`all ${RANGES} ranges of ports are in use by test processes`);
  const first = FIRST_PORT + range * PORTS_PER_RANGE;
  return await listenAt(first, true) ? first : claimRange(range + 1);
};

let firstPort: Promise<number> | undefined;

let lastOffset = 0;

/** An address of this test process's own range that nobody uses. */
export const findFreeAddress = async (): Promise<string> => {
  firstPort ??= claimRange();
  const first = await firstPort;
  lastOffset = 1 + (lastOffset % (PORTS_PER_RANGE - 1));
  const port = first + lastOffset;
  return await listenAt(port, false) ? `${HOST}:${port}` : findFreeAddress();
};
