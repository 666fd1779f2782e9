import { createServer } from 'node:net';

const HOST = '127.0.0.1';

/*
 * Below the range of ephemeral ports. A port of that range may be free when it is checked and be
 * used by an outgoing connection before the process of the test listens on it.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_RANGE = 500;
const RANGES = 38;

const listenAt = (
  port: number,
  keepsListening: boolean,
): Promise<boolean> => new Promise((resolve) => {
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
 * Claims a range of ports for this process: it listens on the first port until the process exits.
 * So test processes that run at the same time never use the same range.
 */
const claimRange = async (range = 0): Promise<number> => {
  if (range >= RANGES) throw new Error(`all ${RANGES} port ranges are in use by other test processes`);
  const first = FIRST_PORT + range * PORTS_PER_RANGE;
  return await listenAt(first, true) ? first : claimRange(range + 1);
};

let firstPort: Promise<number> | undefined;

let lastOffset = 0;

/** Finds an unused address in the port range of this test process. */
export const findFreeAddress = async (): Promise<string> => {
  firstPort ??= claimRange();
  const first = await firstPort;
  lastOffset = 1 + (lastOffset % (PORTS_PER_RANGE - 1));
  const port = first + lastOffset;
  return await listenAt(port, false) ? `${HOST}:${port}` : findFreeAddress();
};
