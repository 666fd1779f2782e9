import { Agent, request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { SITE_HOST } from '../soak/soakDocument';
import type { CallerManner, PlannedCaller, PlannedRequest } from '../soak/soakPlan';
import { countEvents } from '../soak/soakRecords';
import type { Attempt } from '../soak/soakRecords';

/** How long a caller keeps what the directory said, in milliseconds. */
const directoryAges: Record<CallerManner, number> = {
  kept: 1_000, followsFast: 1_000, followsSlowly: 3_000, fresh: 1_000,
};
/** How long callers wait beyond their time limit for an answer that is late, in milliseconds. */
const EXTRA_WAIT_MS = 4_000;
/** Pause after a refusal or a failure, and while no entry is known, in milliseconds. */
const REFUSED_MS = 60;
/** Step from an address to the next that a caller chooses. */
const ADDRESS_STEP = 7;

export interface SoakCallerParts {
  readonly name: string;
  readonly planned: PlannedCaller;
  readonly requests: readonly PlannedRequest[];
  /** Asks for the addresses of entries; empty if no process knows any. */
  readonly queryDirectory: () => Promise<readonly string[]>;
  readonly nameEntry: (address: string) => string;
  readonly recordAttempt: (attempt: Attempt) => void;
  readonly isOver: () => boolean;
}

/** A caller that sends one request after another. */
export class SoakCaller {
  private agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private socket: Socket | undefined;

  private address = '';

  private avoided = '';

  private listed: readonly string[] = [];

  private listedAt = -Infinity;

  private sent = 0;

  private choices = 0;

  constructor(private readonly parts: SoakCallerParts) {}

  /** Sends requests until the run is over; resolves once the last one has ended. */
  async run(): Promise<void> {
    if (this.parts.isOver()) {
      this.agent.destroy();
      return;
    }
    await this.locate();
    const isAnswered = this.address !== '' && await this.sendNext(this.address) === 200;
    await pause(isAnswered ? this.parts.planned.thinkMs : REFUSED_MS);
    await this.run();
  }

  /** Chooses an entry, if there is none or the caller leaves the one it has. */
  private async locate(): Promise<void> {
    const { planned: { manner, first }, queryDirectory } = this.parts;
    if (performance.now() - this.listedAt > directoryAges[manner]) {
      const addresses = await queryDirectory();
      if (addresses.length > 0) {
        this.listed = addresses;
        this.listedAt = performance.now();
      }
    }
    if (manner !== 'kept' && !this.listed.includes(this.address)) this.dropEntry();
    if (this.address !== '') return;
    const others = this.listed.filter((address) => address !== this.avoided);
    this.choices += 1;
    this.address = others[(first + ADDRESS_STEP * this.choices) % others.length] ?? '';
  }

  private dropEntry(): void {
    this.address = '';
    this.socket = undefined;
    this.agent.destroy();
    this.agent = new Agent({ keepAlive: this.parts.planned.manner !== 'fresh', maxSockets: 1 });
  }

  /** A caller stays at its entry until the connection is closed. */
  private watchSocket(socket: Socket): void {
    if (this.socket === socket) return;
    this.socket = socket;
    socket.once('close', () => {
      if (this.socket === socket) this.dropEntry();
    });
  }

  /** Sends the next request; resolves with the status of its answer, 0 without one. */
  private async sendNext(address: string): Promise<number> {
    const { name, planned: { first }, requests } = this.parts;
    const request = requests[(first + this.sent) % requests.length];
    if (!request) throw new Error('a plan has requests');
    this.sent += 1;
    const attempt = await this.send(address, `${name}-${this.sent}`, request);
    this.parts.recordAttempt(attempt);
    if (attempt.status === 0 || attempt.status >= 500) {
      this.avoided = address;
      this.dropEntry();
    }
    return attempt.status;
  }

  private send(address: string, id: string, request: PlannedRequest): Promise<Attempt> {
    const sentAt = performance.now();
    const entry = this.parts.nameEntry(address);
    return new Promise((resolve) => {
      const call = this.openCall(address, id, request);
      let response: IncomingMessage | undefined;
      let body = '';
      const end = (reason: string): void => {
        const status = response?.statusCode ?? 0;
        const endedAt = performance.now();
        resolve({
          id, request, entry, sentAt, endedAt, status, body, reason,
        });
      };
      const timer = setTimeout(() => {
        end('no end of the answer came');
        call.destroy();
      }, request.limitMs + EXTRA_WAIT_MS);
      call.on('socket', (socket) => this.watchSocket(socket));
      call.on('close', () => clearTimeout(timer));
      call.on('error', ({ message }) => end(message));
      call.on('response', (incoming) => {
        response = incoming.setEncoding('latin1');
        incoming.on('data', (chunk: string) => {
          body += chunk;
        });
        incoming.on('error', ({ message }) => end(message));
        incoming.on('end', () => {
          end(incoming.complete ? '' : 'the answer broke off');
          if (incoming.headers.connection === 'close') this.dropEntry();
        });
      });
      call.end(id.padEnd(request.bodyBytes, 'x'));
    });
  }

  private openCall(address: string, id: string, request: PlannedRequest): ClientRequest {
    const { kind, promptTokens, outputTokens } = request;
    return openRequest(`http://${address}/${kind}/7`, {
      method: 'POST',
      agent: this.agent,
      headers: {
        host: SITE_HOST,
        'attempt-id': id,
        'deadline-ms': request.limitMs,
        'content-length': request.bodyBytes,
        'soak-tokens': `${promptTokens},${countEvents(request)}`,
        ...(request.tellsTokens ? { 'token-count': `${promptTokens},${outputTokens}` } : {}),
      },
    });
  }
}
