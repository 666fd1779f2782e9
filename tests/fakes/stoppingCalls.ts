import { expect } from 'vitest';
import type { ParsedAnswer } from './parseAnswer';
import type { CallerRequest, CallerResult, RawCaller } from './rawCaller';
import { formatRoutePath } from './stoppingRoutes';
import type { StoppingRoute } from './stoppingRoutes';
import type { StoppingSite } from './stoppingSite';

/** Duration of a short answer, in milliseconds. */
export const SHORT_ANSWER_MS = 20;
/** Time in which a request reaches a backend server, in milliseconds. */
export const MAX_DELIVERY_MS = 100;
const MAX_WAIT_MS = 20_000;

/** Request headers that set how the server answers. */
export type AnswerHeaders = Readonly<Record<string, string | number>>;

/** Makes a request with a unique id for a route. */
type RequestMaker = (route: StoppingRoute, headers?: AnswerHeaders) => CallerRequest;

/** Sends a request over the given connection, or over a new one. */
type RequestSender = (
  route: StoppingRoute,
  headers?: AnswerHeaders,
  caller?: RawCaller,
) => Promise<CallerResult>;

/**
 * Makes functions that send requests to the entry of a site.
 *
 * @example
 * const { sendTo } = makeStoppingCalls(() => site);
 */
export const makeStoppingCalls = (
  getSite: () => StoppingSite,
): { readonly makeRequest: RequestMaker; readonly sendTo: RequestSender } => {
  let counter = 0;
  const makeRequest: RequestMaker = (route, headers = {}) => {
    counter += 1;
    return {
      id: `r${counter}`,
      path: formatRoutePath(route),
      headers: { 'x-patience': MAX_WAIT_MS, 'x-lasts': SHORT_ANSWER_MS, ...headers },
    };
  };
  const sendTo: RequestSender = async (route, headers, caller) => (
    (caller ?? await getSite().open()).send(makeRequest(route, headers)));
  return { makeRequest, sendTo };
};

/** Expects a complete refusal by the entry, with Retry-After and `connection: close`. */
export const checkRefused = ({ answer, ...rest }: CallerResult): void => {
  expect(answer, JSON.stringify(rest)).toBeDefined();
  const { status, headers, body } = answer as ParsedAnswer;
  expect(status).toBe(503);
  expect(JSON.parse(body)).toMatchObject({ error: { run: 'notRun' } });
  expect(headers).toMatchObject({ connection: 'close', 'retry-after': expect.any(String) });
};

/** Expects an answer with this status. */
export const checkStatus = ({ answer, ...rest }: CallerResult, status: number): void => {
  expect(answer?.status, JSON.stringify(rest)).toBe(status);
};
