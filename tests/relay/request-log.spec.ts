import { describe, expect, it } from 'vitest';
import { RouteTable } from '../../src/core/routing/routeTable';
import { BeechliftError } from '../../src/errors/beechliftError';
import { makeLeavingError } from '../../src/relay/leavingEntry';
import { RelayMetrics } from '../../src/relay/relayMetrics';
import type { RelaySite } from '../../src/relay/relaySite';
import { RequestLog } from '../../src/relay/requestLog';
import type { Logger } from '../../src/telemetry/logger';
import { makeRoute, makeRouting } from '../fakes/routings';

/** A line of the log, with its level. */
type Line = Record<string, unknown>;

const makeLog = (
  lines: Line[],
  isLeaving: boolean,
  metrics = new RelayMetrics(),
): RequestLog => {
  const record = (level: string) => (message: string, fields: Line): unknown => (
    lines.push({ level, message, ...fields }));
  return new RequestLog({
    metrics,
    logger: { info: record('info'), debug: record('debug') } as unknown as Logger,
    clock: { now: () => 0 },
    site: {
      workersEpoch: 'e', workersRevision: 1, isLeaving, leaving: { remainingMs: 340.2 },
    } as RelaySite,
  }, {
    requestId: 'r1', lastEventId: '', resumedId: '', promptParts: [],
  }, 0);
};

const logAnswered = (log: RequestLog): void => log.logAttempt(
  {
    route: makeRoute({}), service: 'rooms', account: undefined, rank: 0, version: 1n,
  },
  {
    worker: { id: 'w1' } as never, expectedMs: 0, placeId: '', epoch: '',
  },
  { kind: 'answered' },
  {
    statusCode: 200,
    hasStarted: true,
    firstChunkAt: 0,
    chunkCount: 3,
    unwrittenBytes: 12,
    isWithinEvent: true,
  },
);

describe('the log of a request', () => {
  it('should name the version in force in a refusal for a missing route', () => {
    const lines: Record<string, unknown>[] = [];
    const log = new RequestLog({
      metrics: new RelayMetrics(),
      logger: {
        info: (message: string, fields: Record<string, unknown>) => lines.push(fields),
      } as unknown as Logger,
      clock: { now: () => 0 },
      site: {
        table: new RouteTable(makeRouting({ version: 7n })), leaseLeftMs: 812.4,
      } as RelaySite,
    }, {
      requestId: 'r1', lastEventId: '', resumedId: '', promptParts: [],
    }, 0);
    log.logRefusal(new BeechliftError('unknownRoute', 'no route matches'), undefined, 0);
    expect(lines).toEqual([
      expect.objectContaining({ code: 1_014, version: 7n, leaseLeftMs: 812 }),
    ]);
  });

  // Without this line, a part that looks complete can't be told from a complete answer.
  it('should tell of each answer whose end only the end of a connection marked', async () => {
    const lines: Line[] = [];
    const metrics = new RelayMetrics();
    const log = makeLog(lines, false, metrics);
    log.call = {
      isSent: true, hasAnswerEnd: true, framing: 'closeDelimited', requestCount: 1, socketCount: 1,
    };
    logAnswered(log);
    expect(lines).toMatchObject([{
      level: 'info', message: 'attempt ended', framing: 'closeDelimited', isWithinEvent: true,
    }]);
    expect((await metrics.closeDelimitedAnswers.get()).values)
      .toEqual([{ labels: { outcome: 'answered' }, value: 1 }]);
  });

  // Without these lines, an answer that ends with its entry looks like one that was never sent.
  it('should tell of each request that ends while the entry shuts down', () => {
    const lines: Line[] = [];
    logAnswered(makeLog(lines, false));
    const log = makeLog(lines, true);
    logAnswered(log);
    const progress = { statusCode: 200, chunkCount: 2, unwrittenBytes: 7 };
    log.logAbort(makeLeavingError(), undefined, 1, progress);
    expect(lines).toMatchObject([
      { level: 'debug', message: 'attempt ended' },
      {
        level: 'info', message: 'attempt ended', unwrittenBytes: 12, leavingLeftMs: 340,
      },
      {
        message: 'answer aborted', sent: 1, status: 200, chunks: 2, unwrittenBytes: 7, leavingLeftMs: 340,
      },
    ]);
  });
});
