/** A small HTTP client for clients, servers and the operator. */
import { Buffer } from 'node:buffer';
import { Agent, request as openRequest } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/** A new connection for each request. */
const NO_KEEP_ALIVE = new Agent({ keepAlive: false });

/**
 * Sends a request and reads its whole answer; rejects if the connection ends before that.
 *
 * @param address IP address and port
 */
export const sendRequest = (address, {
  method, path, headers = {}, body = Buffer.alloc(0), timeoutMs = 1_000, agent = NO_KEEP_ALIVE,
}) => new Promise((done, fail) => {
  const [host, port] = address.split(':');
  const request = openRequest({
    host,
    port: Number(port),
    method,
    path,
    agent,
    headers: { ...headers, ...(body.length > 0 ? { 'Content-Length': body.length } : {}) },
  });
  const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
  const settle = (run, value) => {
    clearTimeout(timer);
    run(value);
  };
  request.once('error', (error) => settle(fail, error));
  request.once('response', (response) => {
    const chunks = [];
    const { socket } = response;
    response.on('data', (chunk) => chunks.push(chunk));
    response.once('error', (error) => settle(fail, error));
    response.once('aborted', () => settle(fail, new Error('the answer was cut off')));
    response.once('end', () => {
      // An answer without a length ends with its connection: one that was reset is not complete.
      if (socket.errored) settle(fail, socket.errored);
      else {
        settle(done, {
          status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks),
        });
      }
    });
  });
  request.end(body);
});
