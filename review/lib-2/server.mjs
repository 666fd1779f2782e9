/** A sound backend server: a queue, a few slots, and heartbeats, as the users' pages describe. */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { makeId, readNow } from './calls.mjs';
import { REPLICAS } from './site.mjs';

const HEARTBEAT_MS = 1_200;
const HOST = '127.0.0.1';
const QUEUE = 36;

/** Answers a request of a plain service after some milliseconds. */
export const makePlainAnswer = (ms) => async ({ id, stamp }, response) => {
  await pause(ms);
  const body = `done ${id}`;
  response.writeHead(200, {
    'Attempt-Id': id, 'Server-Stamp': stamp, 'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
};

/** Answers a request of a model engine with a stream of two events. */
export const makeStreamAnswer = (ms) => async ({ id, stamp }, response) => {
  await pause(ms);
  response.writeHead(200, {
    'Attempt-Id': id, 'Server-Stamp': stamp, 'Content-Type': 'text/event-stream',
  });
  response.write('id: 1\ndata: a\n\n');
  await pause(10);
  response.end('id: 2\ndata: b\n\n');
};

const reject = (response, id, status) => {
  response.writeHead(status, { 'Attempt-Id': id, 'Not-Executed': '1', 'Content-Length': 0 });
  response.end();
};

/** One boot of a backend server. */
export class Server {
  id = `i-${makeId().slice(0, 8)}`;

  /** Requests that it has run: id, time, and headers. */
  runs = [];

  sequence = 0;

  active = 0;

  waiting = [];

  constructor({ service, slots = 6, answer }) {
    Object.assign(this, { service, slots, answer });
    this.server = http.createServer({ maxHeaderSize: 262_144 }, (request, response) => {
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.on('end', () => this.take(request, response));
      request.resume();
    });
  }

  async listen() {
    await new Promise((settle) => {
      this.server.listen(0, HOST, settle);
    });
    this.address = `${HOST}:${this.server.address().port}`;
  }

  /** Builds the heartbeat of a boot at this server's address. */
  buildHeartbeat(sequence) {
    return {
      service: this.service,
      address: this.address,
      zone: 'a',
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence,
    };
  }

  /** Sends a heartbeat to one replica after the other; resolves with whether it is acknowledged. */
  async sendHeartbeat(site, [machine, ...others] = REPLICAS) {
    if (machine === undefined) return false;
    this.sequence += 1;
    const { status } = await site.postControl(machine, `/v1/Instances.Heartbeat/${this.id}`, this.buildHeartbeat(this.sequence));
    return status === 200 || this.sendHeartbeat(site, others);
  }

  /** Sends heartbeats until it is stopped; `recordBeat` receives whether each is acknowledged. */
  startHeartbeats(site, recordBeat = () => undefined) {
    const sendNext = () => this.sendHeartbeat(site).then((isTaken) => recordBeat(this, isTaken));
    this.timer = setInterval(sendNext, HEARTBEAT_MS);
    return sendNext();
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  take({ headers }, response) {
    const id = String(headers['attempt-id'] ?? '');
    const expected = headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      reject(response, id, 421);
      return;
    }
    if (this.active >= this.slots && this.waiting.length >= QUEUE) {
      reject(response, id, 503);
      return;
    }
    this.waiting.push({ id, headers, response });
    this.startNext();
  }

  startNext() {
    if (this.active >= this.slots || this.waiting.length === 0) return;
    const { id, headers, response } = this.waiting.shift();
    if (response.destroyed) {
      this.startNext();
      return;
    }
    this.active += 1;
    this.runs.push({ id, headers, at: readNow() });
    const run = { id, stamp: `${this.id}.${id}` };
    this.answer(run, response).catch(() => response.destroy()).finally(() => {
      this.active -= 1;
      this.startNext();
    });
  }
}
