import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { UpstreamCall } from '../../src/relay/upstreamCall';
import { WorkerConnections } from '../../src/relay/workerConnections';

/** Listens, names its port, and then accepts no connection: further ones get no answer. */
const HUNG_SERVER = `
const server = require('node:net').createServer().listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
  require('node:fs').writeSync(1, String(server.address().port));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20_000);
});`;
/** More connections than the queue of the server holds. */
const QUEUED_COUNT = 4;
/** Twice the time limit of a connection, for a busy machine. */
const MAX_WAIT_MS = 600;

describe('a connection to a server that does not answer', () => {
  let server: ChildProcess;

  let queued: readonly Socket[] = [];

  let address = '';

  beforeEach(async () => {
    server = spawn(process.execPath, ['-e', HUNG_SERVER], { stdio: ['ignore', 'pipe', 'inherit'] });
    const [port] = await once(server.stdout as NodeJS.ReadableStream, 'data') as [Buffer];
    address = `127.0.0.1:${port.toString()}`;
    queued = Array.from({ length: QUEUED_COUNT }, () => connect(Number(port), '127.0.0.1').on('error', () => undefined));
    await once(queued[0] as Socket, 'connect');
  });

  afterEach(() => {
    queued.forEach((socket) => socket.destroy());
    server.kill('SIGKILL');
  });

  // Fault: the HTTP client measures the time limit in steps of half a second, so a request to a
  // server that is down or partitioned was sent to another one only after a second.
  it('should fail within its time limit', async () => {
    const connection = new WorkerConnections().acquire(address);
    const startedAt = performance.now();
    const outcome = await new UpstreamCall(connection, {
      isAbandoned: () => false, onHead: () => true, onData: () => true,
    }).run({
      method: 'GET', path: '/', headers: ['host', 'x'], body: Buffer.alloc(0),
    });
    const tookMs = performance.now() - startedAt;
    connection.end();
    expect(outcome).toMatchObject({ kind: 'unsent' });
    expect(tookMs).toBeLessThan(MAX_WAIT_MS);
  });
});
