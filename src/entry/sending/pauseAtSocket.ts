import type { Dispatcher } from 'undici';
import type { WorkerSocket } from '../../wire/workerSocket';

/**
 * Makes a handler that passes one exchange on to a handler of the HTTP client's `request`, with two
 * differences: an answer is paused at its socket instead of the client's parser, and an answer
 * whose end is a reset fails.
 *
 * @param findSocket returns the socket of the exchange
 * @example
 * super.dispatch(options, pauseAtSocket(handler, () => this.socket));
 */
export const pauseAtSocket = (
  handler: Dispatcher.DispatchHandler,
  findSocket: () => WorkerSocket | undefined,
): Dispatcher.DispatchHandler => {
  let isEnded = false;
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
    onResponseStart: (controller, status, headers, text = '') => {
      const rawHeaders = controller.rawHeaders as Buffer[];
      if (handler.onHeaders?.(status, rawHeaders, resume, text) === false) findSocket()?.pause();
    },
    onResponseData: (controller, chunk) => {
      if (handler.onData?.(chunk) === false) findSocket()?.pause();
    },
    onResponseEnd: () => {
      if (findSocket()?.wasReset) handler.onError?.(new Error('the connection was reset'));
      else handler.onComplete?.([]);
      endLater();
    },
    onResponseError: (controller, error) => {
      handler.onError?.(error);
      endLater();
    },
  };
};
