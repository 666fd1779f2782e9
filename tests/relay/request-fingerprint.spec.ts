import { describe, expect, it } from 'vitest';
import { computeFingerprint } from '../../src/relay/requestFingerprint';
import type { RelaySite } from '../../src/relay/relaySite';
import { RequestLog } from '../../src/relay/requestLog';
import { RelayMetrics } from '../../src/relay/relayMetrics';
import type { Logger } from '../../src/telemetry/logger';
import { makeRoute } from '../fakes/routings';

const content = {
  method: 'POST', host: 'shop.example', target: '/orders/7', account: 'lobby', body: Buffer.from('one'),
};

const collectFingerprints = (requestIds: readonly string[]): unknown[] => {
  const lines: Record<string, unknown>[] = [];
  const logger = { info: (message: string, line: Record<string, unknown>) => lines.push(line) };
  requestIds.forEach((requestId) => {
    const parts = {
      metrics: new RelayMetrics(),
      logger: logger as unknown as Logger,
      clock: { now: () => 0 },
      site: { workersEpoch: 'e', workersRevision: 1 } as RelaySite,
    };
    const log = new RequestLog(parts, {
      requestId, lastEventId: '', resumedId: '', promptParts: [],
    }, 0);
    log.identity = { fingerprint: computeFingerprint(content) };
    log.logAttempt(
      {
        route: makeRoute({}), service: 'rooms', account: undefined, rank: 0, version: 1n,
      },
      {
        worker: { id: 'w1' } as never, expectedMs: 0, placeId: '', epoch: '',
      },
      { kind: 'broken', reason: 'other side closed' },
      {
        statusCode: 0,
        hasStarted: false,
        firstChunkAt: 0,
        chunkCount: 0,
        unwrittenBytes: 0,
        isWithinEvent: false,
      },
    );
  });
  return lines.map(({ fingerprint }) => fingerprint);
};

describe('the fingerprint of a request', () => {
  it('should be the same for the same request, and differ in each part of it', () => {
    const others = [
      content,
      { ...content, host: 'Shop.Example' },
      { ...content, method: 'PUT' },
      { ...content, host: 'spa.example' },
      { ...content, target: '/orders/8' },
      { ...content, account: 'cellar' },
      { ...content, body: Buffer.from('two') },
    ].map(computeFingerprint);
    expect(others[1]).toBe(others[0]);
    expect(new Set(others).size).toBe(6);
    expect(others[0]).toMatch(/^[0-9a-f]{32}$/);
  });

  // Without the fingerprint, logs cannot show whether the same request crashed several servers.
  it('should be logged with each broken attempt, whatever the id of the request', () => {
    const [first, second] = collectFingerprints(['r1', 'r2']);
    expect(first).toBe(computeFingerprint(content));
    expect(second).toBe(first);
  });
});
