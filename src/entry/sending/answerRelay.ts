import { setTimeout as pause } from 'node:timers/promises';
import { BeechliftError } from '../../errors/beechliftError';
import type { Operation } from '../../utils/operation';
import { EngineFailure } from './engineFailure';
import { EngineRefusal } from './engineRefusal';
import type { EngineClient, EngineEvent } from './engineClient';
import { UnknownStreamError } from './unknownStreamError';

/** A stream that was dispatched, and where it can be taken up again. */
export interface DispatchedStream {
  readonly address: string;
  readonly streamId: string;
  readonly canResume: boolean;
  readonly headers: Readonly<Record<string, string>>;
}

const IDLE_TIMEOUT_MS = 5_000;
const RESUME_PAUSE_MS = 100;
/** Attempts in a row without a single event, about four seconds. */
const MAX_FAILED_RESUMES = 8;

/** Milliseconds without a byte after which a connection to an engine is given up. */
export const ENGINE_IDLE_TIMEOUT_MS = IDLE_TIMEOUT_MS;

/**
 * Passes the events of one stream on, whole and in order, over as many connections as it takes.
 *
 * Guards against chunks that come late, doubled or out of order: an event is passed on only when
 * its offset is the next one; what was seen already is dropped; a gap is a failed connection, and
 * the stream is taken up again at the offset that is missing.
 *
 * @example
 * const relay = new AnswerRelay(engines, stream, operation);
 * await relay.run(events, async (event) => { reply.write(event.data); });
 */
export class AnswerRelay {
  /** Events passed on so far. */
  offset = 0;

  /** Times the stream was taken up again. */
  resumes = 0;

  private failedResumes = 0;

  constructor(
    private readonly engines: EngineClient,
    private readonly stream: DispatchedStream,
    private readonly operation: Operation,
  ) {}

  /** Relays from the first connection on; ends after the last event. */
  async run(
    first: AsyncGenerator<EngineEvent> | undefined,
    deliver: (event: EngineEvent) => Promise<void>,
  ): Promise<void> {
    try {
      const events = first ?? await this.resume();
      await this.deliverAll(events, deliver);
    } catch (error) {
      await this.recover(error, deliver);
    }
  }

  private async deliverAll(
    events: AsyncGenerator<EngineEvent>,
    deliver: (event: EngineEvent) => Promise<void>,
  ): Promise<void> {
    // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
    for await (const event of events) {
      if (event.offset > this.offset) {
        throw new EngineFailure('maybeSent', `event ${event.offset} came where ${this.offset} was due`);
      }
      if (event.offset === this.offset) {
        this.offset += 1;
        this.failedResumes = 0;
        await deliver(event);
      }
    }
  }

  private async recover(
    error: unknown,
    deliver: (event: EngineEvent) => Promise<void>,
  ): Promise<void> {
    const { operation, stream } = this;
    if (!(error instanceof EngineFailure)) throw error;
    operation.note(`stream ${stream.streamId} broke at event ${this.offset}: ${error.message}`);
    const canRetry = stream.canResume && this.failedResumes < MAX_FAILED_RESUMES
      && operation.remainingMs > 0 && !operation.signal.aborted;
    if (!canRetry) {
      throw new BeechliftError('backendFailed', `the stream from ${stream.address} broke and could not be resumed`, {
        run: this.offset > 0 ? 'ran' : 'unknown', steps: operation.steps, cause: error,
      });
    }
    this.resumes += 1;
    this.failedResumes += 1;
    await pause(RESUME_PAUSE_MS * this.failedResumes);
    await this.run(undefined, deliver);
  }

  private async resume(): Promise<AsyncGenerator<EngineEvent>> {
    const { address, streamId, headers } = this.stream;
    try {
      return await this.engines.resume({
        address, streamId, headers, fromOffset: this.offset, signal: this.operation.signal,
      }, IDLE_TIMEOUT_MS);
    } catch (error) {
      if (error instanceof EngineRefusal) {
        throw new UnknownStreamError(streamId, this.offset, error.status);
      }
      throw error;
    }
  }
}
