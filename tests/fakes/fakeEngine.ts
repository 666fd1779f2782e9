import { appendFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import type { DispatchRecord } from '../../src/verify/records';
import { EngineModel } from './engineModel';
import type { EngineFault, EngineStream, EngineTraits } from './engineModel';
import { readBody } from './readBody';

/** How an engine handles orders. */
export interface OrderTraits {
  /** Load time of a model, in milliseconds; if it is missing, the engine accepts no orders. */
  readonly loadMs?: number;
  /** Whether it accepts orders with an outdated fencing number. */
  readonly ignoresFencing?: boolean;
}

/** Options of a fake engine. */
export type FakeEngineOptions = EngineTraits & OrderTraits & {
  readonly id: string;
  readonly pool: string;
  readonly hardware: string;
  readonly models: readonly string[];
  /** Addresses of the entry VMs that receive announcements, in round-robin order. */
  readonly entries: readonly string[];
  readonly announceMs: number;
  /** Age of the reported load, in milliseconds. */
  readonly loadLagMs: number;
  /** File that receives a record of every dispatch; empty for none. */
  readonly recordFile: string;
  readonly secret?: string;
  /** Delay of a dispatch between its first byte and its processing, in milliseconds. */
  readonly arriveMs?: number;
  /** Port to listen on; 0 or missing for any free port. */
  readonly port?: number;
};

interface Order {
  readonly fencing: number;
  readonly digest: string;
  readonly models: readonly { readonly name: string; readonly modelVersion: string }[];
}

interface CompletionBody {
  readonly model: string;
  readonly max_tokens?: number;
  readonly messages?: readonly { readonly role?: string; readonly content?: string }[];
  readonly prompt?: string;
}

type Route = (incoming: IncomingMessage, response: ServerResponse, body: string) => void;

const joinPrompt = (body: CompletionBody): string => (
  body.messages?.map(({ role, content }) => `${role}\n${content}`).join('\n') ?? body.prompt ?? ''
);

/**
 * A fake model engine for tests and benches. It has no tiers and admits requests in the order of
 * their arrival.
 */
export class FakeEngine {
  readonly model: EngineModel;

  readonly incarnation = randomUUID();

  address = '';

  state: 'ready' | 'leaving' = 'ready';

  /** All dispatches, in the form that `verifyRecords` reads. */
  readonly dispatches: DispatchRecord[] = [];

  /** Orders that were applied or are being applied. */
  readonly orders: Order[] = [];

  /** Number of answers in progress when orders arrived; a real engine would abort them. */
  interruptedByOrders = 0;

  appliedOrder: Order | undefined;

  isLoading = false;

  private fencing = 0;

  private orderTraits: OrderTraits;

  /** Ids of streams whose first byte was received. */
  readonly receivedIds = new Set<string>();

  /** Ids of the streams that were dispatched to this engine, in order. */
  readonly dispatched: string[] = [];

  private readonly server: Server;

  private readonly loads: { readonly at: number; readonly load: number }[] = [];

  private timer: NodeJS.Timeout | undefined;

  private announceCount = 0;

  constructor(private readonly options: FakeEngineOptions) {
    this.model = new EngineModel(options);
    this.orderTraits = options;
    this.server = createServer((incoming, response) => {
      this.handle(incoming, response).catch(() => response.destroy());
    });
  }

  /** Starts to listen and to send announcements. */
  async start(port = 0): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    this.timer = setInterval(() => {
      this.announce().catch(() => undefined);
    }, this.options.announceMs);
    await this.announce().catch(() => undefined);
  }

  /** Simulates a crash: closes all connections at once. */
  crash(): void {
    clearInterval(this.timer);
    this.model.stop();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Sends an announcement to the next entry. */
  async announce(): Promise<void> {
    const {
      id, pool, hardware, models, slots, entries, loadLagMs, secret,
    } = this.options;
    const now = performance.now();
    this.loads.push({ at: now, load: this.model.load });
    if (this.loads.length > 600) this.loads.shift();
    const reading = this.loads.findLast(({ at }) => at <= now - loadLagMs);
    this.announceCount += 1;
    const entry = entries[this.announceCount % entries.length];
    const response = await request(`http://${entry}/v1/announce`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      headersTimeout: 1_000,
      body: JSON.stringify({
        id,
        pool,
        hardware,
        models: this.isLoading ? [] : models,
        slots,
        kind: 'model',
        orderDigest: this.appliedOrder?.digest ?? '',
        incarnation: this.incarnation,
        address: this.address,
        zone: 'az-1',
        abilities: ['resume', 'cancel', ...(this.orderTraits.loadMs === undefined ? [] : ['orders'])],
        state: this.state,
        running: reading?.load ?? 0,
        loadAgeMs: reading ? Math.round(now - reading.at) : 0,
        ...(secret ? { secret } : {}),
      }),
    });
    await response.body.dump();
  }

  private async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming);
    const url = new URL(incoming.url ?? '/', 'http://engine');
    if (this.model.fault === 'refuse') {
      response.writeHead(503).end();
      return;
    }
    const [, version, kind, id] = url.pathname.split('/');
    const route = this.routes[`${incoming.method} ${version}/${kind}`];
    if (!route) {
      response.writeHead(404).end();
      return;
    }
    incoming.headers['x-stream'] = id ?? '';
    incoming.headers['x-from'] = url.searchParams.get('from') ?? '0';
    route(incoming, response, body);
  }

  private readonly routes: Readonly<Record<string, Route>> = {
    'POST v1/chat': (incoming, response, body) => this.dispatch(incoming, response, body, true),
    'POST v1/completions': (incoming, response, body) => this.dispatch(
      incoming,
      response,
      body,
      false,
    ),
    'GET v1/streams': (incoming, response) => {
      const stream = this.model.streams.get(String(incoming.headers['x-stream']));
      if (!stream || stream.cancelled) response.writeHead(404).end();
      else this.sendEvents(stream, response, Number(incoming.headers['x-from']));
    },
    'DELETE v1/streams': (incoming, response) => {
      const state = this.model.cancel(String(incoming.headers['x-stream']));
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ state, incarnation: this.incarnation }));
    },
    'PUT v1/order': (incoming, response, body) => {
      response.writeHead(this.applyOrder(JSON.parse(body) as Order)).end();
    },
    'POST v1/fault': (incoming, response, body) => {
      this.model.fault = (JSON.parse(body) as { kind: EngineFault }).kind;
      response.end();
    },
    'GET v1/stats': (incoming, response) => {
      response.setHeader('content-type', 'application/json');
      response.end(
        JSON.stringify({
          prefilledTokens: this.model.prefilledTokens,
          wastedTokens: this.model.wastedTokens,
          dispatched: this.dispatched.length,
        }),
      );
    },
  };

  /** Sets how it handles orders from now on. */
  setOrderTraits(traits: OrderTraits): void {
    this.orderTraits = traits;
  }

  /** Removes all orders, as a restart does. */
  resetOrders(): void {
    this.orders.length = 0;
    this.appliedOrder = undefined;
  }

  private applyOrder(order: Order): number {
    if (order.fencing < this.fencing && !this.orderTraits.ignoresFencing) return 409;
    this.fencing = order.fencing;
    if (this.orders.at(-1)?.digest === order.digest) return 200;
    this.orders.push(order);
    this.interruptedByOrders += this.model.load;
    this.isLoading = true;
    setTimeout(() => {
      this.appliedOrder = order;
      this.isLoading = false;
    }, this.orderTraits.loadMs);
    return 202;
  }

  private dispatch(
    incoming: IncomingMessage,
    response: ServerResponse,
    text: string,
    isChat: boolean,
  ): void {
    const id = String(incoming.headers['beechlift-stream'] ?? randomUUID());
    this.receivedIds.add(id);
    const { arriveMs } = this.options;
    if (arriveMs) setTimeout(() => this.accept(id, response, text, isChat), arriveMs);
    else this.accept(id, response, text, isChat);
  }

  private accept(id: string, response: ServerResponse, text: string, isChat: boolean): void {
    if (this.model.cancelledIds.has(id) || this.model.streams.has(id)) {
      response.writeHead(409).end();
      return;
    }
    const body = JSON.parse(text) as CompletionBody;
    const stream: EngineStream = {
      id,
      prompt: joinPrompt(body),
      maxTokens: body.max_tokens ?? 16,
      isChat,
      model: body.model,
      events: [],
      done: false,
      cancelled: false,
      prefilled: 0,
      listeners: new Set(),
    };
    this.dispatched.push(id);
    this.dispatches.push({
      kind: 'dispatch', engine: this.options.id, stream: id, prompt: stream.prompt,
    });
    this.appendRecord({
      kind: 'dispatch', engine: this.options.id, stream: id, prompt: stream.prompt.slice(0, 200),
    });
    this.model.add(stream);
    this.sendEvents(stream, response, 0);
  }

  private sendEvents(stream: EngineStream, response: ServerResponse, from: number): void {
    let offset = from;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    const sendNewEvents = () => {
      if (this.model.fault === 'silent') return;
      if (this.model.fault === 'drop' && offset > from + 2) {
        response.destroy();
        return;
      }
      stream.events.slice(offset).forEach((data) => {
        response.write(`id: ${offset}\ndata: ${data}\n\n`);
        offset += 1;
      });
      if (stream.done) response.end(stream.cancelled ? '' : 'data: [DONE]\n\n');
    };
    stream.listeners.add(sendNewEvents);
    response.on('close', () => stream.listeners.delete(sendNewEvents));
    sendNewEvents();
  }

  private appendRecord(line: object): void {
    if (this.options.recordFile !== '') appendFileSync(this.options.recordFile, `${JSON.stringify(line)}\n`);
  }
}
