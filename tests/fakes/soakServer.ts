import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { AnnouncementSender } from './fragileServer';
import { readBody } from './readBody';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { PlannedEngine } from '../soak/soakPlan';
import { formatEvent, formatPlain } from '../soak/soakRecords';
import type { ServerRun } from '../soak/soakRecords';

const HOST = '127.0.0.1';
const ANNOUNCE_MS = 1_000;
const PREFILL_TOKENS_PER_MS = 56;
const PLAIN_ANSWER_MS = 30;
const PLAIN_SLOTS = 6;
/** Most requests that wait for a slot. */
const MOST_WAITING = 42;

export interface SoakServerParts {
  readonly id: string;
  /** Undefined for a server with plain answers. */
  readonly engine: PlannedEngine | undefined;
  readonly announce: AnnouncementSender;
  readonly recordRun: (run: ServerRun) => void;
  readonly readPlanTime: () => number;
}

/**
 * A backend server that answers the slower the more requests it runs. Each request waits for a slot
 * and for the prompts before it.
 */
export class SoakServer {
  private readonly server = createServer((request, response) => {
    // A connection that breaks while the body is read: the request hasn't run.
    this.serve(request, response).catch(() => response.destroy());
  });

  private announceTimer: NodeJS.Timeout | undefined;

  private sequence = 0;

  private running = 0;

  private readonly waiting: (() => void)[] = [];

  private prefill: Promise<unknown> = Promise.resolve();

  constructor(private readonly parts: SoakServerParts) {}

  /** Listens and announces itself. */
  async open(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, HOST, () => resolve());
    });
    this.announceTimer = setInterval(() => this.sendAnnouncement(), ANNOUNCE_MS);
    this.sendAnnouncement();
  }

  close(): void {
    clearInterval(this.announceTimer);
    this.server.close();
    this.server.closeAllConnections();
  }

  private get slots(): number {
    return this.parts.engine?.slots ?? PLAIN_SLOTS;
  }

  private sendAnnouncement(): void {
    const { id: workerId, engine, announce } = this.parts;
    const { port } = this.server.address() as AddressInfo;
    this.sequence += 1;
    announce(WorkerAnnouncement.fromPartial({
      workerId, service: engine ? 'engines' : 'desk', software: 'v1', address: `${HOST}:${port}`, zone: 'a', slots: this.slots, state: 'ready', sequence: this.sequence,
    })).catch(() => undefined); // The next announcement follows soon.
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await readBody(request);
    const id = String(request.headers['attempt-id']);
    if (request.url === '/healthz') {
      response.writeHead(200, { 'instance-id': this.parts.id }).end();
    } else if (this.running >= this.slots && this.waiting.length >= MOST_WAITING) {
      response.writeHead(503, { 'not-executed': '1', 'attempt-id': id, 'content-length': 0 }).end();
    } else {
      await this.takeSlot();
      await this.run(id, request, response).finally(() => this.releaseSlot());
    }
  }

  private async takeSlot(): Promise<void> {
    if (this.running < this.slots) this.running += 1;
    else {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
  }

  private releaseSlot(): void {
    const next = this.waiting.shift();
    if (next) next();
    else this.running -= 1;
  }

  private async run(id: string, request: IncomingMessage, response: ServerResponse) {
    const { engine, recordRun } = this.parts;
    const { 'soak-tokens': tokens, 'last-event-id': last = 0 } = request.headers;
    const [prompt = 0, count = 0] = String(tokens).split(',').map(Number);
    if (engine) await this.waitPrefill(prompt, response);
    if (response.destroyed) return;
    const run: ServerRun = { id, startedAt: performance.now(), endedAt: undefined };
    recordRun(run);
    response.once('close', () => {
      run.endedAt ??= performance.now();
    });
    if (engine?.isCloseDelimited) {
      Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    }
    response.setHeader('attempt-id', id);
    if (engine) await this.writeStream(response, engine, id, [Number(last) + 1, count]);
    else {
      await pause(PLAIN_ANSWER_MS);
      response.setHeader('content-length', formatPlain(id).length);
      response.write(formatPlain(id));
    }
    response.end();
    run.endedAt ??= performance.now();
  }

  /** Prompts are read one after another. */
  private async waitPrefill(promptTokens: number, response: ServerResponse): Promise<void> {
    this.prefill = this.prefill.then(() => (
      response.destroyed ? undefined : pause(promptTokens / PREFILL_TOKENS_PER_MS)));
    await this.prefill;
  }

  private async writeStream(
    response: ServerResponse,
    engine: PlannedEngine,
    id: string,
    [number, count]: readonly [number, number],
  ): Promise<void> {
    if (response.destroyed || number > count) return;
    if (!response.headersSent) response.setHeader('content-type', 'text/event-stream');
    response.write(formatEvent(id, number, count));
    await pause(this.computeEventMs(engine));
    await this.writeStream(response, engine, id, [number + 1, count]);
  }

  private computeEventMs({ eventMs, share, slow }: PlannedEngine): number {
    const now = this.parts.readPlanTime();
    const factors = slow.map(({ at, lastsMs, factor }) => (
      at <= now && now < at + lastsMs ? factor : 1));
    return eventMs * (1 + share * this.running) * Math.max(1, ...factors);
  }
}
