import { expect } from 'vitest';
import type { ParsedAnswer } from './parseAnswer';
import type { CallerRequest, CallerResult, RawCaller } from './rawCaller';
import { findPath } from './stoppingRoutes';
import type { StoppingRoute } from './stoppingRoutes';
import type { StoppingSite } from './stoppingSite';

/** Time of an answer that is soon whole. */
export const BRIEF_MS = 20;
/** Time in which a request that was sent has reached a server. */
export const REACH_MS = 100;
const PATIENCE_MS = 20_000;

/** Headers by which a request tells its server how to answer. */
export type Headers = Readonly<Record<string, string | number>>;

/** Makes a request for a route, under an id of its own. */
type RequestMaker = (route: StoppingRoute, headers?: Headers) => CallerRequest;

/** Sends one, on a new connection unless one is given. */
type Asker = (route: StoppingRoute, headers?: Headers, caller?: RawCaller) => Promise<CallerResult>;

/**
 * Calls to the entry of a site.
 *
 * @example
 * const { askFor } = makeStoppingCalls(() => site);
 */
export const makeStoppingCalls = (
  readSite: () => StoppingSite,
): { readonly makeRequest: RequestMaker; readonly askFor: Asker } => {
  let counter = 0;
  const makeRequest: RequestMaker = (route, headers = {}) => {
    counter += 1;
    return {
      id: `r${counter}`,
      path: findPath(route),
      headers: { 'x-patience': PATIENCE_MS, 'x-lasts': BRIEF_MS, ...headers },
    };
  };
  const askFor: Asker = async (route, headers, caller) => (
    (caller ?? await readSite().open()).ask(makeRequest(route, headers)));
  return { makeRequest, askFor };
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
