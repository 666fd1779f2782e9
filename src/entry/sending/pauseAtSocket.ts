import type { Dispatcher } from 'undici';
import { needsWholeRequest, readFraming } from '../../wire/answerFraming';
import type { WorkerSocket } from '../../wire/workerSocket';

/**
 * Makes a handler that passes one exchange on to a handler of the HTTP client's `request`, with two
 * differences: an answer is paused at its socket instead of the client's parser, and an answer
 * whose end is a reset, or comes before the server can have read the request, fails.
 *
 * @param method method of the request
 * @param findSocket returns the socket of the exchange
 * @example
 * super.dispatch(options, pauseAtSocket(handler, options.method, () => this.socket));
 */
export const pauseAtSocket = (
  handler: Dispatcher.DispatchHandler,
  method: string,
  findSocket: () => WorkerSocket | undefined,
): Dispatcher.DispatchHandler => {
  let isEnded = false;
  let needsRequest = false;
  const findFailure = (): string | undefined => {
    if (findSocket()?.wasReset) return 'the connection was reset';
    const isUnproved = needsRequest && findSocket()?.wasEndedEarly;
    return isUnproved ? 'the connection was closed before the request was written' : undefined;
  };
  const resume = (): void => {
    if (!isEnded) findSocket()?.resume();
  };
  // Once the last chunk is delivered: the socket may carry another request next.
  const endLater = (): void => {
    const socket = findSocket();
    isEnded = true;
    queueMicrotask(() => socket?.resume());
  };
  return {
    onRequestStart: (controller) => {
      handler.onConnect?.((reason) => controller.abort(reason ?? new Error('aborted')));
    },
    onResponseStart: (controller, status, parsed, text = '') => {
      const rawHeaders = controller.rawHeaders as Buffer[];
      const headers = rawHeaders.map((item) => item.toString('latin1'));
      needsRequest = needsWholeRequest(readFraming(method, { status, headers }), status);
      if (handler.onHeaders?.(status, rawHeaders, resume, text) === false) findSocket()?.pause();
    },
    onResponseData: (controller, chunk) => {
      if (handler.onData?.(chunk) === false) findSocket()?.pause();
    },
    onResponseEnd: () => {
      const failure = findFailure();
      if (failure !== undefined) handler.onError?.(new Error(failure));
      else handler.onComplete?.([]);
      endLater();
    },
    onResponseError: (controller, error) => {
      handler.onError?.(error);
      endLater();
    },
  };
};
