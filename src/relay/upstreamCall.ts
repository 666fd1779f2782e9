import { setImmediate as readPendingInput } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import { BODILESS_STATUSES } from '../wire/bodilessStatuses';
import { readFraming } from '../wire/answerFraming';
import type { AnswerFraming } from '../wire/answerFraming';
import type { RawHeaders } from '../wire/rawHeaders';
import type { WorkerConnection } from './workerConnection';

/** Outcome of a request at one backend server. */
export type UpstreamOutcome = | { readonly kind: 'complete' }
  /** No byte of the request was sent. */
  | { readonly kind: 'unsent'; readonly reason: string }
  /** No byte of it was sent, as the server must get no new requests. */
  | { readonly kind: 'withheld'; readonly reason: string }
  /** The request was sent, and no complete answer was received. */
  | { readonly kind: 'broken'; readonly reason: string };

/** A request as it is sent to a backend server. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

/** Head of an answer. */
export interface UpstreamHead {
  readonly status: number;
  readonly headers: RawHeaders;
  /** What marks the end of the body. */
  readonly framing: AnswerFraming;
}

/** What the log tells about a call. */
export type CallSummary = Pick<UpstreamCall, 'isSent' | 'hasAnswerEnd' | 'framing'>
  & Pick<WorkerConnection, 'requestCount' | 'socketCount'>;

/** Receives an answer. */
export interface UpstreamListener {
  /** Returns whether the request is no longer needed, so that its first byte must not be sent. */
  readonly isAbandoned: () => boolean;
  /** Returns whether the request may still be sent; asked right before its first byte. */
  readonly maySend?: () => boolean;
  /** Returns false to refuse the answer, which closes the connection. */
  readonly onHead: (head: UpstreamHead) => boolean;
  /** Returns false to pause the answer until `resume` is called. */
  readonly onData: (chunk: Buffer) => boolean;
  /** Returns why a close-delimited answer counts as broken off; undefined if it is complete. */
  readonly findCutReason?: () => Promise<string | undefined>;
}

const ABANDONED = 'the request is no longer needed';

const readRawHeaders = (controller: Dispatcher.DispatchController): string[] => (
  ((controller.rawHeaders ?? []) as (Buffer | string)[]).map((item) => (
    typeof item === 'string' ? item : item.toString('latin1')))
);

/**
 * Sends one request to one backend server.
 *
 * @example
 * const call = new UpstreamCall(connection, listener);
 * const outcome = await call.run(request);
 */
export class UpstreamCall {
  /** Whether bytes of the request may have been sent. */
  isSent = false;

  /** Whether the head of an answer was received and accepted. */
  hasAnswerHead = false;

  /** Whether the HTTP client has read an answer to its end. */
  hasAnswerEnd = false;

  /** What marks the end of the answer; undefined until its head is received. */
  framing: AnswerFraming | undefined;

  /** Whether the answer is paused; chunks that were read together with the last one still come. */
  isPaused = false;

  private controller: Dispatcher.DispatchController | undefined;

  private abortReason: Error | undefined;

  private isRefused = false;

  /** Whether an accepted head is the whole answer, so that no later error concerns it. */
  private isWholeWithHead = false;

  private isWithheld = false;

  constructor(
    private readonly connection: WorkerConnection,
    private readonly listener: UpstreamListener,
  ) {}

  /** Whether the request was aborted by this entry. */
  get isAborted(): boolean {
    return this.abortReason !== undefined;
  }

  /**
   * Sends the request; resolves once its answer has ended, complete or not. If an open connection
   * fails before a byte was sent, the request is sent over a new one: servers may drop idle
   * connections.
   */
  async run(request: UpstreamRequest): Promise<UpstreamOutcome> {
    const { socketCount } = this.connection;
    this.connection.requestCount += 1;
    // Finds out whether the open connection has ended while this process handled other input.
    if (socketCount > 0) await readPendingInput();
    if (this.listener.isAbandoned()) this.abort(ABANDONED);
    if (this.abortReason) return { kind: 'unsent', reason: this.abortReason.message };
    const outcome = await this.dispatch(request);
    // The connection may carry another request next.
    this.resume();
    const hasTriedNewSocket = socketCount === 0 || this.connection.socketCount > socketCount;
    const mayDispatchAgain = outcome.kind === 'unsent' && !hasTriedNewSocket && !this.isAborted;
    return this.confirmEnd(mayDispatchAgain ? await this.dispatch(request) : outcome);
  }

  private async confirmEnd(outcome: UpstreamOutcome): Promise<UpstreamOutcome> {
    if (outcome.kind !== 'complete' || this.framing !== 'closeDelimited') return outcome;
    const reason = await this.listener.findCutReason?.();
    return reason === undefined ? outcome : { kind: 'broken', reason };
  }

  private dispatch({
    method, path, headers, body,
  }: UpstreamRequest): Promise<UpstreamOutcome> {
    return new Promise((resolve) => {
      const fail = ({ message: reason }: Error): void => {
        const unsentKind = this.isWithheld ? 'withheld' : 'unsent';
        resolve({ kind: this.isSent ? 'broken' : unsentKind, reason });
      };
      try {
        this.connection.client.dispatch({
          method,
          path,
          headers,
          body: body.length > 0 ? body : null,
        }, {
          onRequestStart: (controller) => this.start(controller),
          onResponseStart: (controller, status) => this.readHead(controller, method, status),
          onResponseData: (controller, chunk) => {
            if (!this.isRefused && !this.listener.onData(chunk)) this.pause();
          },
          onResponseEnd: () => resolve(this.makeOutcome()),
          onResponseError: (controller, error) => {
            if (this.isWholeWithHead && !this.isAborted) {
              this.connection.end();
              resolve(this.finishAnswer());
            } else fail(error);
          },
        });
      } catch (error) {
        fail(error as Error);
      }
    });
  }

  /** Summarizes the call and its connection for the log. */
  summarize(): CallSummary {
    const {
      isSent, hasAnswerEnd, framing, connection: { requestCount, socketCount },
    } = this;
    return {
      isSent, hasAnswerEnd, framing, requestCount, socketCount,
    };
  }

  /** Resumes an answer that `onData` paused; does nothing once the answer has ended. */
  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.connection.resume();
  }

  private pause(): void {
    this.isPaused = true;
    this.connection.pause();
  }

  /** Aborts the request and closes its connection, which cancels it at the backend server. */
  abort(reason: string): void {
    this.abortReason = new Error(reason);
    if (this.hasAnswerEnd) return;
    // Without a controller the request has not started: closing the connection cancels it.
    if (this.controller) this.controller.abort(this.abortReason);
    else this.connection.client.destroy(this.abortReason).catch(() => undefined);
  }

  /*
   * Prevents a request from running twice: if the HTTP library starts it again over a new
   * connection, it is aborted before the first byte is sent.
   */
  private start(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    // Node.js reads the end of a caller's connection one turn of the event loop after its request.
    // That turn has passed: the library has opened a connection or checked the one that is open.
    if (this.listener.isAbandoned()) this.abortReason ??= new Error(ABANDONED);
    if (!this.isSent) this.checkPermission();
    if (this.abortReason) {
      controller.abort(this.abortReason);
      return;
    }
    if (this.isSent) {
      controller.abort(new Error('the HTTP client tried to send the request a second time'));
      return;
    }
    this.isSent = true;
    process.nextTick(() => this.checkFirstWrite());
  }

  /** Aborts the request if its server must get no requests by the time its connection is open. */
  private checkPermission(): void {
    const maySend = this.listener.maySend?.() ?? true;
    if (maySend || this.abortReason) return;
    this.isWithheld = true;
    this.abortReason = new Error('the server must get no new requests, or the entry has no lease');
  }

  /*
   * The library writes the request right after `start`. If the operating system refuses that write,
   * it takes no byte of it, and the error is known before it is reported.
   */
  private checkFirstWrite(): void {
    // An abort ends the socket too, after the write.
    if (this.connection.wasReset && !this.isAborted) this.isSent = false;
  }

  private makeOutcome(): UpstreamOutcome {
    if (this.isRefused) return { kind: 'broken', reason: 'the answer was refused' };
    if (this.connection.wasReset && !this.isWholeWithHead) return { kind: 'broken', reason: 'the connection was reset' };
    return this.finishAnswer();
  }

  private finishAnswer(): UpstreamOutcome {
    this.hasAnswerEnd = true;
    return { kind: 'complete' };
  }

  private readHead(
    controller: Dispatcher.DispatchController,
    method: string,
    status: number,
  ): void {
    // A status below 200 is informational: the final answer follows.
    if (status < 200) return;
    const headers = readRawHeaders(controller);
    const framing = readFraming(method, { status, headers });
    this.framing = framing;
    this.isRefused = !this.listener.onHead({ status, headers, framing });
    this.hasAnswerHead = !this.isRefused;
    this.isWholeWithHead = this.hasAnswerHead && BODILESS_STATUSES.includes(status);
    if (this.isRefused) controller.abort(new Error('the answer was refused'));
  }
}
