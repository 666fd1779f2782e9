import { setTimeout as pause } from 'node:timers/promises';
import { BeechliftError } from '../../errors/beechliftError';
import type { Operation } from '../../utils/operation';
import { EngineFailure } from './engineFailure';
import { EngineRefusal } from './engineRefusal';
import type { EngineClient, EngineEvent } from './engineClient';
import { UnknownStreamError } from './unknownStreamError';

/** A dispatched stream and the address at which it can be resumed. */
export interface DispatchedStream {
  readonly address: string;
  readonly streamId: string;
  readonly canResume: boolean;
  readonly headers: Readonly<Record<string, string>>;
}

const IDLE_TIMEOUT_MS = 5_000;
const RESUME_PAUSE_MS = 100;
/** Maximum number of consecutive attempts without an event; with the pauses, about four seconds. */
const MAX_FAILED_RESUMES = 8;

/** Time without a byte after which a connection to an engine is closed, in milliseconds. */
export const ENGINE_IDLE_TIMEOUT_MS = IDLE_TIMEOUT_MS;

/**
 * Relays the events of one stream completely and in order, over as many connections as needed.
 *
 * Handles chunks that arrive late, duplicated or out of order: an event is relayed only when its
 * offset is the next one, and dropped when it was relayed before. A gap counts as a failed
 * connection, and the stream is resumed at the missing offset.
 *
 * @example
 * const relay = new AnswerRelay(engines, stream, operation);
 * await relay.run(events, async ({ data }) => { await sink.deliver(data); });
 */
export class AnswerRelay {
  /** Number of events relayed so far. */
  offset = 0;

  /** Number of times the stream was resumed. */
  resumes = 0;

  private failedResumes = 0;

  constructor(
    private readonly engines: EngineClient,
    private readonly stream: DispatchedStream,
    private readonly operation: Operation,
  ) {}

  /** Relays the stream to its last event; without a first connection it resumes the stream. */
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
        throw new EngineFailure('maybeSent', `received event ${event.offset}, expected event ${this.offset}`);
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
    operation.recordStep(`stream ${stream.streamId} broke at event ${this.offset}: ${error.message}`);
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
