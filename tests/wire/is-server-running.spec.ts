import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { buildConnector } from 'undici';
import { describe, expect, it } from 'vitest';
import { openNetworkSocket } from '../../src/relay/workerConnection';
import { isServerRunning } from '../../src/wire/isServerRunning';

/** Fails like a connection with an error code. */
const failWith = (code: string): buildConnector.connector => (options, callback) => {
  callback(Object.assign(new Error(code), { code }), null);
};

const connectors: readonly [string, buildConnector.connector][] = [
  ['the relay', openNetworkSocket],
  ['the own interface', buildConnector({ timeout: 1_000 })],
];

describe('whether a server runs', () => {
  it.each(connectors)('should be told by its port: %s', async (name, connector) => {
    const server = createServer().listen(0, '127.0.0.1');
    await new Promise((resolve) => {
      server.once('listening', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await isServerRunning(connector, address)).toBe(true);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await isServerRunning(connector, address)).toBe(false);
  });

  // Fault: the HTTP client has a code of its own for a host that does not answer, which counted as
  // a lack of connections of this process.
  it.each([
    ['ETIMEDOUT', false], ['UND_ERR_CONNECT_TIMEOUT', false], ['EHOSTUNREACH', false],
    ['ECONNRESET', true], ['EMFILE', true],
  ])('should be concluded from the error of a connection: %s', async (code, isRunning) => {
    expect(await isServerRunning(failWith(code), '127.0.0.1:1')).toBe(isRunning);
  });
});
