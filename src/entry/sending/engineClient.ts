import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { Agent, Pool, request } from 'undici';
import type { Dispatcher } from 'undici';
import { EngineFailure } from './engineFailure';
import { EngineRefusal } from './engineRefusal';
import { readBody } from './readBody';
import { ServerConnection } from './serverConnection';
import { toEngineFailure } from './toEngineFailure';

/** One event of an engine's stream: its offset in the answer and its data. */
export interface EngineEvent {
  readonly offset: number;
  readonly data: string;
}

/** State of a stream, as the engine reports it when the stream is cancelled. */
export type CancelState = 'neverSeen' | 'cancelled' | 'finished' | 'unknown';

/** Reply to a cancel. An engine that restarted has no record of its earlier streams. */
export interface CancelReply {
  readonly state: CancelState;
  readonly incarnation: string;
}

/** A dispatch to an engine. */
export interface EngineDispatch {
  readonly address: string;
  readonly streamId: string;
  readonly path: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
}

/** A request to resume a stream from an offset. */
export type EngineResume = Pick<EngineDispatch, 'address' | 'streamId' | 'signal' | 'headers'> & {
  readonly fromOffset: number;
};

interface RequestOptions {
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
  readonly headersTimeout: number;
  readonly body?: string;
}

/**
 * Idle connections are not reused after this time: network devices in between may have dropped
 * their state.
 */
const IDLE_REUSE_MS = 1_000;
const MAX_CONNECTIONS = 1_024;
const CANCEL_TIMEOUT_MS = 2_000;
/** Most bytes of a refusal or of a reply to a cancel that are read. */
const MAX_REPLY_BYTES = 65_536;
/** Longest event of a stream, in characters. */
const MAX_EVENT_CHARACTERS = 1_048_576;
const OK = 200;
const DONE = '[DONE]';
const OFFSET_TEXT = /^\d{1,15}$/;
const MAX_SHOWN_ID = 40;

/** Reads the begin of a body; the rest of a longer one is not received. */
const readBegin = async (body: Dispatcher.ResponseData['body']): Promise<string> => {
  const bytes = await readBody(body, MAX_REPLY_BYTES);
  return bytes.subarray(0, MAX_REPLY_BYTES).toString();
};

/** The events parsed from one chunk, and whether the end of the stream was reached. */
interface ParsedChunk {
  readonly events: EngineEvent[];
  readonly done: boolean;
}

/** Reads the offset that the id of an event states; an event without an id follows the last one. */
const readOffset = (id: string | undefined, next: number): number => {
  if (id === undefined) return next;
  if (OFFSET_TEXT.test(id)) return Number(id);
  throw new EngineFailure('maybeSent', `received event id ${JSON.stringify(id.slice(0, MAX_SHOWN_ID))}, expected an offset`);
};

const makeChunkParser = (fromOffset: number): ((text: string) => ParsedChunk) => {
  let events: EngineEvent[] = [];
  let done = false;
  let next = fromOffset;
  const parser = createParser({
    onEvent: (event: EventSourceMessage) => {
      if (event.data === DONE) {
        done = true;
        return;
      }
      const offset = readOffset(event.id, next);
      next = offset + 1;
      events.push({ offset, data: event.data });
    },
    onError: ({ type, message }) => {
      if (type === 'max-buffer-size-exceeded') throw new EngineFailure('maybeSent', message);
    },
    maxBufferSize: MAX_EVENT_CHARACTERS,
  });
  return (text) => {
    events = [];
    parser.feed(text);
    return { events, done };
  };
};

const readNext = async (
  iterator: AsyncIterator<Buffer>,
  idleTimeoutMs: number,
): Promise<IteratorResult<Buffer>> => {
  let timer: NodeJS.Timeout | undefined;
  const idleTimeout = new Promise<never>((resolve, reject) => {
    timer = setTimeout(
      () => reject(new EngineFailure('maybeSent', `no byte received for ${idleTimeoutMs} ms`)),
      idleTimeoutMs,
    );
  });
  try {
    return await Promise.race([iterator.next(), idleTimeout]);
  } finally {
    clearTimeout(timer);
  }
};

/** Adds a listener to a handler, called when the HTTP client starts to send the request. */
const addStartListener = (
  handler: Dispatcher.DispatchHandler,
  markStarted: () => void,
): Dispatcher.DispatchHandler => ({
  onConnect: (abort) => {
    markStarted();
    handler.onConnect?.(abort);
  },
  onHeaders: (...head) => handler.onHeaders?.(...head) ?? true,
  onData: (chunk) => handler.onData?.(chunk) ?? true,
  onComplete: (trailers) => handler.onComplete?.(trailers),
  onError: (error) => handler.onError?.(error),
});

/**
 * HTTP client for engines: starts, resumes and cancels streams.
 *
 * @example
 * const events = await engines.dispatch(dispatch, 5_000);
 */
export class EngineClient {
  private readonly agent = new Agent({
    connections: MAX_CONNECTIONS,
    keepAliveTimeout: IDLE_REUSE_MS,
    keepAliveMaxTimeout: IDLE_REUSE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
    factory: (origin, options) => new Pool(origin, {
      ...options, factory: (address, settings) => new ServerConnection(address, settings),
    }),
  });

  /** Starts a stream; returns its events as the engine produces them. */
  async dispatch(
    dispatch: EngineDispatch,
    idleTimeoutMs: number,
  ): Promise<AsyncGenerator<EngineEvent>> {
    const {
      address, path, body, headers, streamId, signal,
    } = dispatch;
    const response = await this.sendPooled(address, path, {
      method: 'POST',
      body,
      headers: { ...headers, 'content-type': 'application/json', 'beechlift-stream': streamId },
      signal,
      headersTimeout: idleTimeoutMs,
    });
    return this.readEvents(response, 0, idleTimeoutMs);
  }

  /** Resumes a stream from an offset, over a new connection. */
  async resume(resume: EngineResume, idleTimeoutMs: number): Promise<AsyncGenerator<EngineEvent>> {
    const {
      address, streamId, fromOffset, signal, headers,
    } = resume;
    const response = await this.sendFresh(address, `/v1/streams/${encodeURIComponent(streamId)}?from=${fromOffset}`, {
      method: 'GET', headers, signal, headersTimeout: idleTimeoutMs,
    });
    return this.readEvents(response, fromOffset, idleTimeoutMs);
  }

  /** Cancels a stream and blocks its id; returns the state that the engine had for it. */
  async cancel(address: string, streamId: string): Promise<CancelReply> {
    const fresh = this.makeFreshClient(address);
    try {
      const response = await request(`http://${address}/v1/streams/${encodeURIComponent(streamId)}`, {
        method: 'DELETE',
        headersTimeout: CANCEL_TIMEOUT_MS,
        bodyTimeout: CANCEL_TIMEOUT_MS,
        dispatcher: fresh,
      });
      const { state, incarnation } = JSON.parse(
        await readBegin(response.body),
      ) as Partial<CancelReply>;
      return { state: state ?? 'unknown', incarnation: incarnation ?? '' };
    } catch {
      return { state: 'unknown', incarnation: '' };
    } finally {
      fresh.close().catch(() => undefined);
    }
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  private makeFreshClient(address: string): ServerConnection {
    return new ServerConnection(`http://${address}`, { headersTimeout: 0, bodyTimeout: 0 });
  }

  /*
   * Sends over a pooled connection, or over a new one if the engine has dropped the pooled one
   * before a byte was sent: that proves neither that the request may run nor that the engine is
   * unreachable.
   */
  private async sendPooled(
    address: string,
    path: string,
    options: RequestOptions,
  ): Promise<Dispatcher.ResponseData> {
    let isStarted = false;
    const markStarted = (): void => {
      isStarted = true;
    };
    const dispatcher = this.agent.compose((dispatch) => (dispatchOptions, handler) => (
      dispatch(dispatchOptions, addStartListener(handler, markStarted))));
    return this.send(`http://${address}${path}`, { ...options, dispatcher }).catch((error: unknown) => {
      const isDropped = !isStarted && error instanceof EngineFailure && error.reach !== 'notSent';
      if (!isDropped || options.signal.aborted) throw error;
      return this.sendFresh(address, path, options);
    });
  }

  private async sendFresh(
    address: string,
    path: string,
    options: RequestOptions,
  ): Promise<Dispatcher.ResponseData> {
    const fresh = this.makeFreshClient(address);
    try {
      return await this.send(`http://${address}${path}`, { ...options, dispatcher: fresh });
    } finally {
      // Closes only after the stream on this connection has ended.
      fresh.close().catch(() => undefined);
    }
  }

  private async send(
    url: string,
    options: RequestOptions & { readonly dispatcher: Dispatcher },
  ): Promise<Dispatcher.ResponseData> {
    try {
      const response = await request(url, options);
      if (response.statusCode === OK) return response;
      throw new EngineRefusal(response.statusCode, await readBegin(response.body));
    } catch (error) {
      throw error instanceof EngineRefusal ? error : toEngineFailure(error);
    }
  }

  /*
   * Waits a limited time for the next byte, because a connection can stop delivering data in the
   * middle of an answer without being closed.
   */
  private async* readEvents(
    response: Dispatcher.ResponseData,
    fromOffset: number,
    idleTimeoutMs: number,
  ): AsyncGenerator<EngineEvent> {
    const parse = makeChunkParser(fromOffset);
    const decoder = new TextDecoder();
    const iterator = response.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    try {
      for (;;) {
        // eslint-disable-next-line no-await-in-loop -- a stream is read in order
        const { value, done } = await readNext(iterator, idleTimeoutMs);
        if (done) throw new EngineFailure('maybeSent', 'the stream ended before its last event');
        const chunk = parse(decoder.decode(value, { stream: true }));
        yield* chunk.events;
        if (chunk.done) return;
      }
    } catch (error) {
      throw error instanceof EngineFailure ? error : toEngineFailure(error);
    } finally {
      response.body.destroy();
    }
  }
}
