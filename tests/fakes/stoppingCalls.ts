import { expect } from 'vitest';
import type { ParsedAnswer } from './parseAnswer';
import type { CallerRequest, CallerResult, RawCaller } from './rawCaller';
import { formatRoutePath } from './stoppingRoutes';
import type { StoppingRoute } from './stoppingRoutes';
import type { StoppingSite } from './stoppingSite';

/** Time of an answer that is soon whole. */
export const SHORT_ANSWER_MS = 20;
/** Time in which a request that was sent has reached a server. */
export const MAX_DELIVERY_MS = 100;
const MAX_WAIT_MS = 20_000;

/** Headers by which a request tells its server how to answer. */
export type AnswerHeaders = Readonly<Record<string, string | number>>;

/** Makes a request for a route, under an id of its own. */
type RequestMaker = (route: StoppingRoute, headers?: AnswerHeaders) => CallerRequest;

/** Sends one, on a new connection unless one is given. */
type RequestSender = (route: StoppingRoute, headers?: AnswerHeaders, caller?: RawCaller) => Promise<CallerResult>;

/**
 * Calls to the entry of a site.
 *
 * @example
 * const { askFor } = makeStoppingCalls(() => site);
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
  return { makeRequest, sendTo: sendTo };
};

/** A refusal that is the entry's own, whole and true: it says when to come back and to go. */
export const checkRefused = ({ answer, ...rest }: CallerResult): void => {
  expect(answer, JSON.stringify(rest)).toBeDefined();
  const { status, headers, body } = answer as ParsedAnswer;
  expect(status).toBe(503);
  expect(JSON.parse(body)).toMatchObject({ error: { run: 'notRun' } });
  expect(headers).toMatchObject({ connection: 'close', 'retry-after': expect.any(String) });
};

/** An answer of a status. */
export const checkStatus = ({ answer, ...rest }: CallerResult, status: number): void => {
  expect(answer?.status, JSON.stringify(rest)).toBe(status);
};
