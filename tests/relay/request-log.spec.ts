import { describe, expect, it } from 'vitest';
import { RouteTable } from '../../src/core/routing/routeTable';
import { BeechliftError } from '../../src/errors/beechliftError';
import { RelayMetrics } from '../../src/relay/relayMetrics';
import type { RelaySite } from '../../src/relay/relaySite';
import { RequestLog } from '../../src/relay/requestLog';
import type { Logger } from '../../src/telemetry/logger';
import { makeRouting } from '../fakes/routings';

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
});
