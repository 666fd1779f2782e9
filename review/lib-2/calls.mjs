/** HTTP calls and waits that the cases share. */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';

const POLL_MS = 20;
const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_WAIT_MS = 20_000;

/** Monotonic milliseconds. */
export const readNow = () => performance.now();

/** Makes an id for a request or a boot of a server. */
export const makeId = () => randomBytes(8).toString('hex');

/** Resolves once a check holds; a check that throws does not hold. Rejects after a time. */
export const waitUntil = async (check, what, ms = DEFAULT_WAIT_MS) => {
  const endAt = readNow() + ms;
  const poll = async () => {
    const isDone = await Promise.resolve().then(check).catch(() => false);
    if (isDone) return;
    if (readNow() > endAt) throw new Error(`timed out: ${what}`);
    await pause(POLL_MS);
    await poll();
  };
  await poll();
};

/** Makes one call over a connection of its own; never rejects. */
export const callHttp = (address, {
  method = 'GET', path = '/', headers = {}, body, timeoutMs = DEFAULT_TIMEOUT_MS,
} = {}) => new Promise((resolve) => {
  const [host, port] = address.split(':');
  const parts = [];
  const answer = {
    status: 0, headers: {}, isComplete: false, error: '', sentAt: readNow(),
  };
  let isSettled = false;
  const settle = (error = '') => {
    if (isSettled) return;
    isSettled = true;
    resolve({ ...answer, error, text: Buffer.concat(parts).toString() });
  };
  const request = http.request({
    host, port: Number(port), method, path, headers, agent: false,
  }, (response) => {
    answer.status = response.statusCode;
    answer.headers = response.headers;
    response.on('data', (chunk) => parts.push(chunk));
    response.on('error', (error) => settle(error.message));
    response.on('close', () => {
      answer.isComplete = response.complete;
      settle();
    });
  });
  const timer = setTimeout(() => request.destroy(new Error('the caller gave up')), timeoutMs);
  request.on('error', (error) => settle(error.message));
  request.on('close', () => {
    clearTimeout(timer);
    settle();
  });
  request.end(body);
});
