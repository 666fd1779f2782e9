import { randomUUID } from 'node:crypto';
import { request } from 'node:http';
import { waitFor } from './controlSite';
import { EVENT_COUNT } from './versionedServer';

const EVENT = /id: (\d+)\ndata: (\S+)\n\n/g;

/** A stream that a caller takes up. */
export interface BegunStream {
  /** Attempt that began it; undefined if the caller does not name it. */
  readonly id?: string;
  /** Last event that the caller has. */
  readonly lastEventId?: number;
}

/** Headers in which a caller names its attempt, its last event and the attempt before. */
export interface CallerHeaders {
  readonly id: string;
  readonly lastEventId: string;
  readonly resumes: string;
}

const TEST_HEADERS: CallerHeaders = { id: 'x-id', lastEventId: 'x-last-event', resumes: 'x-resumes' };

/** One attempt of a caller at an entry, and what was received of its stream. */
export class StreamCaller {
  readonly id = randomUUID();

  status = 0;

  private text = '';

  private isClosed = false;

  private hasEnd = false;

  private readonly call;

  /** @param begun the stream that this attempt takes up; a new one without it */
  constructor(address: string, begun: BegunStream = {}, names = TEST_HEADERS) {
    const { id, lastEventId = 0 } = begun;
    this.call = request(`http://${address}/orders/7`, {
      method: 'POST',
      headers: {
        host: 'shop.example',
        [names.id]: this.id,
        ...(lastEventId > 0 ? { [names.lastEventId]: String(lastEventId) } : {}),
        ...(id ? { [names.resumes]: id } : {}),
      },
    }, (response) => {
      this.status = response.statusCode ?? 0;
      response.on('data', (chunk: Buffer) => {
        this.text += chunk.toString('latin1');
      });
      response.on('error', () => undefined);
      response.on('end', () => {
        this.hasEnd = response.complete;
      });
      response.on('close', () => this.markClosed());
    });
    this.call.on('error', () => this.markClosed());
    // Each stream has a body of its own: copies of one request would be suspected of crashes.
    this.call.end(id || this.id);
  }

  /** Ids of the received events. */
  get eventIds(): number[] {
    return [...this.text.matchAll(EVENT)].map(([, id]) => Number(id));
  }

  /** Versions of the servers that sent the events, each named once. */
  get versions(): string[] {
    return [...new Set([...this.text.matchAll(EVENT)].map(([, , version = '']) => version))];
  }

  get lastEventId(): number {
    return this.eventIds.at(-1) ?? 0;
  }

  /** Name of the result code of a refusal. */
  get code(): string {
    return /"name":"(\w+)"/.exec(this.text)?.[1] ?? '';
  }

  get isWhole(): boolean {
    return this.lastEventId === EVENT_COUNT;
  }

  /** Whether the answer is complete as far as its caller can tell, whatever it contains. */
  get looksComplete(): boolean {
    return this.hasEnd;
  }

  /** Resolves when some events were received. */
  async waitEvents(count: number): Promise<void> {
    await waitFor(() => this.eventIds.length >= count, `${count} events`);
  }

  /** Resolves when the answer has ended or broken off. */
  async waitClosed(): Promise<void> {
    await waitFor(() => this.isClosed, 'the end of the answer');
  }

  /** Breaks the connection. */
  breakOff(): void {
    this.call.destroy();
    this.markClosed();
  }

  private markClosed(): void {
    this.isClosed = true;
  }
}
