import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { makeHttpServer } from '../../src/http/httpServer';

const SOON_MS = 1_000;

// A caller that had connected and sent nothing held the end of the process up, until it left.
it('should close though a connection has brought nothing', async () => {
  const app = makeHttpServer();
  await app.listen({ host: '127.0.0.1', port: 0 });
  const accepted = once(app.server, 'connection');
  const socket = connect((app.server.address() as AddressInfo).port, '127.0.0.1');
  await accepted;
  const startedAt = performance.now();
  const closed = app.close();
  setTimeout(() => socket.destroy(), 2 * SOON_MS);
  await closed;
  expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
});
