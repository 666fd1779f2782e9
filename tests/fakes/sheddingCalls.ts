import type { Route } from '../../src/manifest/routing';
import { RelayRig } from './relayRig';
import { makeRoute, makeRouting } from './routings';
import type { ServerScript } from './scriptedServer';
import type { SheddingAnswer } from './sheddingServer';

/** The answer that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  /** Time after which the caller may retry, in milliseconds; 0 if the answer has none. */
  readonly retryMs: number;
}

const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\nconnection: close\r\n\r\n';
const MAX_IDLE_MS = 2_500;

const readAnswer = (text: string): CallerAnswer => ({
  status: Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0),
  retryMs: 1_000 * Number(/retry-after: ([\d.]+)/i.exec(text)?.[1] ?? 0),
});

/** Answers every request without a backoff: the server sheds no load. */
export const serveAll = (): SheddingAnswer => ({});

/** Starts a server for each script, and an entry with one route to them. */
export const startRig = (
  route: Partial<Route>,
  scripts: readonly ServerScript[],
): Promise<RelayRig> => (
  RelayRig.start(makeRouting({ routes: [makeRoute(route)] }), scripts));

/** Sends a request to the entry and returns its answer. */
export const sendRequest = async (rig: RelayRig): Promise<CallerAnswer> => (
  readAnswer(await rig.send(REQUEST, MAX_IDLE_MS)));
