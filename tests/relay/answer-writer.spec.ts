import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { describe, expect, it } from 'vitest';
import { BeechliftError } from '../../src/errors/beechliftError';
import { AnswerWriter } from '../../src/relay/answerWriter';

describe('writing an answer', () => {
  // Fault: a chunk arrived from a server after the caller was refused. The write emitted an 'error'
  // event without a listener, which crashed the process and closed all its connections.
  it('should drop chunks that arrive after its end', async () => {
    const failures: Error[] = [];
    const rooms: boolean[] = [];
    const server = createServer((incoming, response) => {
      response.on('error', (error) => failures.push(error));
      const writer = new AnswerWriter(response, 'direct', () => 0, () => false);
      writer.fail(new BeechliftError('routeTimeout', 'its time is over'));
      writer.writeHead({ status: 200, headers: ['content-length', '4'], framing: 'length' });
      rooms.push(writer.write(Buffer.from('late')));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const { statusCode, body } = await request(`http://127.0.0.1:${port}`);
    expect([statusCode, (await body.text()).includes('late')]).toEqual([504, false]);
    server.closeAllConnections();
    server.close();
    expect([failures, rooms]).toEqual([[], [true]]);
  });
});
