/** Stand-in of a backend server: announces itself and runs requests. */
import { Buffer } from 'node:buffer';
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from './http.mjs';

const HEARTBEAT_MS = 1_200;
const PREFILL_TOKENS_PER_MS = 56.1;
const EVENT_MS = 13;
const TOKENS_PER_EVENT = 2;

const readTokens = ({ headers }) => (headers['token-count'] ?? '0,0').split(',').map(Number);

const readBody = (request) => new Promise((done, fail) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.once('end', () => done(Buffer.concat(chunks)));
  request.once('error', fail);
});

/** A backend server of one service; `report` receives each arrival and run. */
export class Server {
  constructor({
    service,
    host,
    zone,
    slots,
    queue,
    isEngine,
    operators,
    report,
    workMs = 30,
    unframedShare = 0,
    extraShare = 0,
  }) {
    Object.assign(this, {
      service,
      host,
      zone,
      slots,
      queue,
      isEngine,
      operators,
      report,
      workMs,
      unframedShare,
      extraShare,
    });
    /** Connections on which a second answer to an earlier request is due, with that request. */
    this.dueExtras = new WeakMap();
    this.id = `i-${randomUUID().slice(0, 10)}`;
    this.sequence = 0;
    this.running = 0;
    this.waiting = [];
    this.prefill = Promise.resolve();
  }

  async open() {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
    await new Promise((done) => {
      this.server.listen(0, this.host, done);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.isOpen = true;
    this.announce().catch(() => undefined);
  }

  close() {
    this.isOpen = false;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Sends heartbeats until the server is closed; tries one replica after the other. */
  async announce(start = 0) {
    if (!this.isOpen) return;
    this.sequence += 1;
    const body = Buffer.from(JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: this.sequence,
    }));
    const isTaken = await this.sendHeartbeat(body, start, this.operators.length);
    await pause(isTaken ? HEARTBEAT_MS : 300);
    await this.announce(start + 1);
  }

  async sendHeartbeat(body, start, tries) {
    if (tries === 0) return false;
    const answer = await sendRequest(this.operators[start % this.operators.length], {
      method: 'POST',
      path: `/v1/Instances.Heartbeat/${this.id}`,
      headers: { 'Content-Type': 'application/json' },
      body,
    }).catch(() => undefined);
    return answer?.status === 200 || this.sendHeartbeat(body, start + 1, tries - 1);
  }

  async handle(request, response) {
    const id = request.headers['attempt-id'];
    const body = await readBody(request);
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    const arrivedAt = Date.now();
    const expected = request.headers['expected-instance'];
    if (!id || (expected && expected !== this.id)) {
      this.refuse(response, id ? 421 : 400, id);
      return;
    }
    if (this.running >= this.slots && this.waiting.length >= this.queue) {
      this.refuse(response, 503, id);
      return;
    }
    this.sendDueExtra(request.socket);
    await this.takeSlot();
    try {
      if (response.destroyed) return;
      const run = {
        id,
        arrivedAt,
        server: this,
        headers: request.headers,
        tokens: readTokens(request),
        body,
        url: request.url,
      };
      if (this.isEngine) await this.runStream(response, run);
      else await this.runPlain(response, run);
    } finally {
      this.releaseSlot();
    }
  }

  refuse(response, status, id) {
    response.writeHead(status, { 'Not-Executed': '1', ...(id ? { 'Attempt-Id': id } : {}), 'Content-Length': 0 }).end();
  }

  async takeSlot() {
    if (this.running < this.slots) {
      this.running += 1;
      return;
    }
    await new Promise((done) => {
      this.waiting.push(done);
    });
  }

  releaseSlot() {
    const next = this.waiting.shift();
    if (next) next();
    else this.running -= 1;
  }

  buildHeaders(id) {
    return { 'Attempt-Id': id, 'Server-Stamp': `${this.id}.${id}` };
  }

  /**
   * Sends a second, late answer to an earlier request of the connection, which was answered: that
   * its time in the queue has passed. It bears the id of that earlier request.
   */
  sendDueExtra(socket) {
    const id = this.dueExtras.get(socket);
    if (!id) return;
    this.dueExtras.delete(socket);
    socket.write(`HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
    this.reportExtra?.(id);
  }

  /** Lets the answer end with its connection, without a length. */
  removeFraming(response) {
    Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
  }

  async runPlain(response, run) {
    this.report(run);
    await pause(this.workMs);
    const text = `done ${run.id}`;
    response.writeHead(200, { ...this.buildHeaders(run.id), 'Content-Length': text.length }).end(text);
    if (Math.random() < this.extraShare) this.dueExtras.set(response.req.socket, run.id);
  }

  async runStream(response, run) {
    const [prompt, output] = run.tokens;
    const turn = this.prefill.then(() => (response.destroyed
      ? undefined
      : pause(prompt / PREFILL_TOKENS_PER_MS)));
    this.prefill = turn;
    await turn;
    if (response.destroyed) return;
    // A request begins to run with its first token.
    this.report(run);
    if (Math.random() < this.unframedShare) this.removeFraming(response);
    response.writeHead(200, { ...this.buildHeaders(run.id), 'Content-Type': 'text/event-stream', 'Weight-Versions': '1' });
    const count = Math.ceil(output / TOKENS_PER_EVENT);
    const writeEvent = async (number) => {
      if (response.destroyed || number > count) return;
      response.write(`id: ${number}\ndata: ${run.id} ${number}/${count}\n\n`);
      await pause(EVENT_MS);
      await writeEvent(number + 1);
    };
    await writeEvent(1);
    response.end();
  }
}
