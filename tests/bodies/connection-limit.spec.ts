import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { applyConnectionLimit } from '../../src/bodies/applyConnectionLimit';

const MAX_CONNECTIONS = 3;
const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const PART_OF_REQUEST = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx';

describe('a server at its limit of connections', () => {
  let server: Server;
  let callers: Socket[];
  let responses: ServerResponse[];
  let accepted: number;

  const open = async (text: string): Promise<Socket> => {
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    callers.push(caller);
    caller.on('error', () => undefined); // A closed connection is reset.
    caller.resume();
    caller.write(text);
    await vi.waitFor(() => expect(accepted).toBe(callers.length));
    return caller;
  };

  const waitForRequests = (count: number) => (
    vi.waitFor(() => expect(responses).toHaveLength(count)));

  beforeEach(async () => {
    callers = [];
    responses = [];
    accepted = 0;
    server = createServer((request, response) => responses.push(response));
    applyConnectionLimit(server, MAX_CONNECTIONS);
    server.on('connection', () => {
      accepted += 1;
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    callers.forEach((caller) => caller.destroy());
    server.close();
  });

  it('should close the connection that was used longest ago for a new one', async () => {
    const first = await open('');
    const second = await open(PART_OF_REQUEST);
    await waitForRequests(1);
    await open('');
    await open(REQUEST);
    await vi.waitFor(() => expect(first.destroyed).toBe(true));
    await open(REQUEST);
    await vi.waitFor(() => expect(second.destroyed).toBe(true));
    await waitForRequests(3);
  });

  it('should not close a connection on which a complete request is answered', async () => {
    const busy = [await open(REQUEST), await open(REQUEST), await open(REQUEST)];
    await waitForRequests(3);
    const refused = await open(REQUEST);
    await vi.waitFor(() => expect(refused.destroyed).toBe(true));
    expect(busy.map(({ destroyed }) => destroyed)).toEqual([false, false, false]);
    expect(responses).toHaveLength(3);
  });

  it('should accept others once a connection is not used any more', async () => {
    const [idle] = [await open(REQUEST), await open(REQUEST), await open(REQUEST)];
    await waitForRequests(3);
    responses[0]?.end();
    await vi.waitFor(() => expect(responses[0]?.writableFinished).toBe(true));
    await open(REQUEST);
    await waitForRequests(4);
    await vi.waitFor(() => expect(idle?.destroyed).toBe(true));
  });
});
