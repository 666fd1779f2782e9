import type { Dispatcher } from 'undici';
import type { RawHeaders } from './requestDialect';
import type { WorkerConnection } from './workerConnection';

/** How a request went at one backend server. */
export type UpstreamOutcome = | { readonly kind: 'whole' }
  /** No byte of the request left. */
  | { readonly kind: 'unsent'; readonly reason: string }
  /** It was sent, and no whole answer came. */
  | { readonly kind: 'broken'; readonly reason: string };

/** A request as it goes to a backend server. */
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
}

/** Who hears of an answer. */
export interface UpstreamListener {
  /** Returns false to refuse the answer, which ends the connection. */
  readonly onHead: (head: UpstreamHead) => boolean;
  /** Returns false when the reader is full; `resume` is to be called then. */
  readonly onData: (chunk: Buffer) => boolean;
}

const readRawHeaders = (controller: Dispatcher.DispatchController): string[] => (
  ((controller.rawHeaders ?? []) as (Buffer | string)[]).map((item) => (
    typeof item === 'string' ? item : item.toString('latin1')))
);

/**
 * One request to one backend server.
 *
 * @example
 * const call = new UpstreamCall(connection, listener);
 * const end = await call.run(request);
 */
export class UpstreamCall {
  /** Whether bytes of the request may have left. */
  isSent = false;

  /** Whether the head of an answer has come that is passed on. */
  hasAnswerHead = false;

  private controller: Dispatcher.DispatchController | undefined;

  private abortReason: Error | undefined;

  private isRefused = false;

  constructor(
    private readonly connection: WorkerConnection,
    private readonly listener: UpstreamListener,
  ) {}

  /** Whether it was given up here. */
  get isAborted(): boolean {
    return this.abortReason !== undefined;
  }

  /** Sends the request; resolves once its answer has ended, whole or not. */
  run({
    method, path, headers, body,
  }: UpstreamRequest): Promise<UpstreamOutcome> {
    return new Promise((resolve) => {
      const fail = (error: Error): void => resolve(
        this.isSent
          ? { kind: 'broken', reason: error.message }
          : { kind: 'unsent', reason: error.message },
      );
      try {
        this.connection.client.dispatch({
          method,
          path,
          headers,
          body: body.length > 0 ? body : null,
        }, {
          onRequestStart: (controller) => this.start(controller),
          onResponseStart: (controller, status) => this.readHead(controller, status),
          onResponseData: (controller, chunk) => {
            if (!this.isRefused && !this.listener.onData(chunk)) controller.pause();
          },
          onResponseEnd: () => resolve(this.makeOutcome()),
          onResponseError: (controller, error) => fail(error),
        });
      } catch (error) {
        fail(error as Error);
      }
    });
  }

  /** Goes on after the reader was full. */
  resume(): void {
    this.controller?.resume();
  }

  /** Gives the request up; its connection ends, by which the backend server learns of it. */
  abort(reason: string): void {
    this.abortReason = new Error(reason);
    // Without a controller, the end of the request is reported as that of its connection.
    if (this.controller) this.controller.abort(this.abortReason);
    else this.connection.client.destroy(this.abortReason).catch(() => undefined);
  }

  /*
   * Guards requests that may not run twice: a library that would send a request anew over a fresh
   * connection is stopped before the first byte.
   */
  private start(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.abortReason) {
      controller.abort(this.abortReason);
      return;
    }
    if (this.isSent) {
      controller.abort(new Error('the request would have been sent twice'));
      return;
    }
    this.isSent = true;
  }

  private makeOutcome(): UpstreamOutcome {
    if (this.isRefused) return { kind: 'broken', reason: 'the answer was refused' };
    if (this.connection.wasReset) return { kind: 'broken', reason: 'the connection was reset' };
    return { kind: 'whole' };
  }

  private readHead(controller: Dispatcher.DispatchController, status: number): void {
    // Answers below 200 only announce the one that follows.
    if (status < 200) return;
    this.isRefused = !this.listener.onHead({ status, headers: readRawHeaders(controller) });
    this.hasAnswerHead = !this.isRefused;
    if (this.isRefused) controller.abort(new Error('the answer was refused'));
  }
}
