import { describe, expect, it } from 'vitest';
import { findOrigin } from '../../src/core/routing/originLookup';
import type { OriginQuery } from '../../src/core/routing/originLookup';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { StreamOrigins } from '../../src/core/routing/streamOrigins';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const V1 = { service: 'rooms', software: 'v1' };
const V2 = { service: 'rooms', software: 'v2' };
const EXPIRES_AT = 10_000;
const RETENTION_MS = 300_000;

describe('the remembered origins of streams', () => {
  const recordStart = (origins: StreamOrigins, id: string, origin = V1): void => (
    origins.recordStart({ id, origin, expiresAt: EXPIRES_AT }));

  it('should name the version of the server that began the stream', () => {
    const origins = new StreamOrigins();
    recordStart(origins, 'a');
    recordStart(origins, 'a');
    expect([origins.find('a', 0), origins.find('b', 0)]).toEqual([V1, undefined]);
  });

  // Two entries report one attempt: what either server writes may be in the hands of its caller.
  it('should not guess between two versions that were reported', () => {
    const origins = new StreamOrigins();
    recordStart(origins, 'a');
    recordStart(origins, 'a', V2);
    expect(origins.find('a', 0)).toBeUndefined();
    recordStart(origins, 'a');
    expect(origins.find('a', 0)).toBeUndefined();
  });

  // Fault: a second report that expires sooner shortened the time in which the version is unknown.
  it('should not guess again before the first of two reports expires', () => {
    const origins = new StreamOrigins();
    recordStart(origins, 'a');
    origins.recordStart({ id: 'a', origin: V2, expiresAt: 1 });
    const { revision } = origins;
    origins.expire(EXPIRES_AT);
    recordStart(origins, 'a', V2);
    expect([origins.find('a', EXPIRES_AT), origins.revision]).toEqual([undefined, revision]);
  });

  it('should be kept until they expire, and longer if the stream is taken up', () => {
    const origins = new StreamOrigins();
    ['a', 'b'].forEach((id) => origins.recordStart({ id, origin: V1, expiresAt: EXPIRES_AT }));
    origins.recordStart({ id: 'b', origin: V1, expiresAt: 2 * EXPIRES_AT });
    origins.expire(EXPIRES_AT + 1);
    expect([origins.size, origins.find('b', EXPIRES_AT + 1)]).toEqual([1, V1]);
  });

  // A site with many streams must not exhaust the memory of the leader.
  it('should be bounded, and drop the oldest first', () => {
    const origins = new StreamOrigins();
    Array.from({ length: 100_002 }, (unused, number) => (
      recordStart(origins, `s${number}`)));
    expect([origins.size, origins.find('s1', 0), origins.find('s2', 0)])
      .toEqual([100_000, undefined, V1]);
  });

  it('should be copied to a follower that has none, or lacks more than the recent changes', () => {
    const origins = new StreamOrigins();
    Array.from({ length: 10_500 }, (unused, number) => (
      recordStart(origins, `s${number}`)));
    [0, 100, 10_400].forEach((revision) => {
      const { records } = origins.listChanged(revision);
      expect(records[0]?.id).toBe(`s${revision}`);
      expect(records).toHaveLength(Math.min(5_000, 10_500 - revision));
    });
  });

  it('should be copied in portions, with every later change', () => {
    const [leader, follower] = [new StreamOrigins(), new StreamOrigins()];
    let revision = 0;
    const copy = (): void => {
      const changes = leader.listChanged(revision);
      changes.records.forEach((stored) => follower.adopt(stored));
      revision = changes.revision;
    };
    Array.from({ length: 5_001 }, (unused, number) => (
      recordStart(leader, `s${number}`)));
    copy();
    expect(follower.size).toBe(5_000);
    recordStart(leader, 's0', V2);
    copy();
    expect([follower.size, follower.find('s0', 0), follower.find('s5000', 0)])
      .toEqual([5_001, undefined, V1]);
    expect(leader.listChanged(revision).records).toEqual([]);
  });
});

describe('the version at which a request must be served', () => {
  const apply = (
    workers: RoutedWorkers,
    now: number,
    ...servers: readonly (readonly [string, string, string])[]
  ): void => applyRecords(workers, servers.map(([workerId, software, standing]) => (
    WorkerRecord.fromPartial({
      said: {
        workerId, service: 'rooms', software, address: `${workerId}:80`, state: 'ready',
      },
      standing,
    }))), now);

  const find = (workers: RoutedWorkers, query: Partial<OriginQuery>, now = 0): string => {
    const origins = new StreamOrigins();
    origins.recordStart({ id: 'known', origin: V1, expiresAt: Infinity });
    const { kind, origin } = findOrigin(workers, origins, { service: 'rooms', ...query }, now);
    return `${kind} ${origin?.software ?? '-'}`;
  };

  it('should be any version for a new stream', () => {
    const workers = makeRoutedWorkers();
    apply(workers, 0, ['a', 'v1', 'ready'], ['b', 'v2', 'ready']);
    expect(find(workers, {})).toBe('free -');
  });

  it('should be the version that began a stream, or unknown', () => {
    const workers = makeRoutedWorkers();
    apply(workers, 0, ['a', 'v1', 'ready'], ['b', 'v2', 'ready']);
    expect(find(workers, { resumedId: 'known' })).toBe('known v1');
    expect(find(workers, { origin: V2, resumedId: 'known' })).toBe('known v2');
    expect(find(workers, { resumedId: 'other' })).toBe('unknown -');
    expect(find(workers, { resumedId: '' })).toBe('unknown -');
  });

  it('should be the only version that there has been', () => {
    const workers = makeRoutedWorkers();
    expect(find(workers, { resumedId: '' })).toBe('unknown -');
    apply(workers, 0, ['a', '', 'ready'], ['b', '', 'silent']);
    expect(find(workers, { resumedId: '' })).toBe('assumed ');
  });

  // A stream of a version that has just left must not be taken for one of the version that is left.
  it.each(['gone', 'silent'])('should be unknown for a while after another version became %s', (standing) => {
    const workers = makeRoutedWorkers();
    apply(workers, 0, ['a', 'v1', 'ready'], ['b', 'v2', 'ready']);
    apply(workers, 1_000, ['a', 'v1', standing]);
    expect(find(workers, { resumedId: '' }, RETENTION_MS + 1_000)).toBe('unknown -');
    expect(find(workers, { resumedId: '' }, RETENTION_MS + 1_001)).toBe('assumed v2');
  });

  // Servers that announce ever new versions must not fill the memory.
  it('should be unknown after any number of versions', () => {
    const workers = makeRoutedWorkers();
    Array.from({ length: 1_000 }, (unused, number) => (
      apply(workers, 0, [`w${number}`, `v${number}`, 'gone'])));
    expect(find(workers, { resumedId: '' })).toBe('unknown -');
    expect(workers.versions.listRecent('rooms', [], 0)).toHaveLength(64);
  });
});
