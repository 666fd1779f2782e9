import { describe, expect, it } from 'vitest';
import { platformDialect } from '../../platform/requestHeaders';
import {
  buildPeerAddress, listSeeds, parseControlSettings, parseRelaySettings,
} from '../../platform/platformSettings';
import { readRoutingDocument } from '../../platform/routingDocument';
import { decodeDeregistration, decodeHeartbeat } from '../../platform/workerCalls';

const makeDocument = (changes: object = {}): Record<string, unknown> => ({
  version: 7,
  routes: [{
    name: 'r', host: 'a.example', path_prefix: '/x/', route_kind: 'streaming', timeout_ms: 8000, target_latency_ms: 800, priority: 1, service: 's', max_attempts: 2, public: false, sticky: true, resumable: true, itl_target_ms: 200,
  }, {
    name: 'w', host: 'a.example', path_prefix: '/y/', route_kind: 'non_idempotent', timeout_ms: 600, weighted_services: [{ service: 's', weight: 90 }, { service: 't', weight: 10 }],
  }],
  services: [{ name: 's', max_connections: 610, inference_engine: { slots: 7 } }, { name: 't' }],
  limits: {
    max_header_bytes: 100, max_body_bytes: 200, header_timeout_ms: 300, idle_timeout_ms: 400,
  },
  tenants: [{
    name: 'n', api_keys: ['k1', 'k2'], priority: 1, unit: 'tokens', uncached_tokens: 200, rate_per_s: 68176, burst: 5,
  }],
  ...changes,
});

describe('the routing document of the platform', () => {
  it('should be decoded into routes, services, accounts and limits', () => {
    const { routing } = readRoutingDocument(JSON.stringify(makeDocument()));
    const [stream, once] = routing?.routes ?? [];
    expect([stream?.kind, stream?.isResumable, stream?.maxAttempts]).toEqual(['stream', true, 2]);
    expect([once?.kind, once?.isResumable, once?.maxAttempts]).toEqual(['nonIdempotent', false, 1]);
    expect(routing?.routes[1]?.targets).toHaveLength(2);
    expect(routing?.services.map(({ isEngine }) => isEngine)).toEqual([true, false]);
    expect(routing?.accounts[0]).toEqual({
      name: 'n', keys: ['k1', 'k2'], rank: 1, unit: 'tokens', perSecond: 68176, burst: 5, defaultTokens: 200,
    });
    expect(routing?.limits).toEqual({
      headerBytes: 100, bodyBytes: 200, headerTimeoutMs: 300, idleTimeoutMs: 400,
    });
  });

  it('should accept unknown fields', () => {
    const document = JSON.stringify(makeDocument({ novelty: { a: 1 } }));
    expect(readRoutingDocument(document).faults).toEqual([]);
  });

  const makeRoute = (changes: object): object => ({
    name: 'r', host: 'a.example', path_prefix: '/x/', route_kind: 'idempotent', timeout_ms: 8000, service: 's', ...changes,
  });

  it.each([
    ['an unknown service', { routes: [makeRoute({ service: 'nobody' })] }],
    ['two routes with the same host and prefix', { routes: [makeRoute({}), makeRoute({ name: 'q' })] }],
    ['weights that add up to 0', { routes: [makeRoute({ service: undefined, weighted_services: [{ service: 's', weight: 0 }] })] }],
    ['a timeout of 0', { routes: [makeRoute({ timeout_ms: 0 })] }],
    ['a key that two accounts share', { tenants: [{ name: 'a', api_keys: ['k'] }, { name: 'b', api_keys: ['k'] }] }],
    ['no version', { version: undefined }],
    ['an unknown kind of route', { routes: [makeRoute({ route_kind: 'sometimes' })] }],
  ])('should be refused for %s', (name, changes) => {
    const { routing, faults } = readRoutingDocument(JSON.stringify(makeDocument(changes)));
    expect(routing).toBeUndefined();
    expect(faults.length).toBeGreaterThan(0);
  });

  it('should be refused if it is truncated', () => {
    const text = JSON.stringify(makeDocument());
    expect(readRoutingDocument(text.slice(0, -40)).routing).toBeUndefined();
  });
});

describe('the headers of the platform', () => {
  const headers = [
    'Host', 'a.example', 'Attempt-Id', '9c41', 'Model', 'm', 'Token-Count', '1460,80', 'Prompt-Prefix', '5c:800',
    'Deadline-Ms', '15000', 'Authorization', 'Bearer k1', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1',
    'Tenant', 'forged', 'Kv-Retention', 'forged', 'Pin-Ms', '9', 'Kv-Backup', 'forged', 'Kv-From', 'forged',
    'Kv-Fetch', 'forged', 'Expected-Instance', 'forged', 'X-Own', 'kept', 'Last-Event-Id', '3', 'Resumes', '77af',
  ];

  it('should be decoded into request id, maximum wait, key and tokens', () => {
    expect(platformDialect.readRequest(headers)).toEqual({
      requestId: '9c41', maxWaitMs: 15000, key: 'k1', lastEventId: '3', resumedId: '77af', tokens: { prompt: 1460, output: 80, expected: 80 }, promptParts: [],
    });
  });

  it.each([
    [[], {
      requestId: '', maxWaitMs: undefined, key: '', lastEventId: '', resumedId: '', tokens: undefined, promptParts: [],
    }],
    [['Deadline-Ms', 'soon', 'Token-Count', 'x', 'Authorization', 'Basic k1'], {
      requestId: '', maxWaitMs: undefined, key: '', lastEventId: '', resumedId: '', tokens: undefined, promptParts: [],
    }],
    [['Token-Count', '12'], {
      requestId: '', maxWaitMs: undefined, key: '', lastEventId: '', resumedId: '', tokens: { prompt: 12, output: 0, expected: 0 }, promptParts: [],
    }],
  ])('should be ignored if their values are invalid: %j', (raw, expected) => {
    expect(platformDialect.readRequest(raw)).toEqual(expected);
  });

  it.each([
    ['30', 30], ['30.2', 31], ['500', 80], ['0', 80], ['-4', 80], ['long', 80], ['Infinity', 80], ['', 80],
  ])('should limit the length hint to the maximum length of the answer: %s', (hint, expected) => {
    const { tokens } = platformDialect.readRequest(['Token-Count', '1460,80', 'Length-Hint', hint]);
    expect(tokens).toEqual({ prompt: 1460, output: 80, expected });
  });

  // Guards against forged headers: a caller could gain precedence with headers the entry sets.
  it('should be forwarded, except those that the entry sets itself', () => {
    const forwarded = platformDialect.buildRequestHeaders(headers, {
      workerId: 'i-7', account: { name: 'n' } as never, remainingMs: 14_200, lastEventId: '',
    });
    const text = forwarded.join('|');
    expect(text).not.toMatch(/forged|Bearer|k1|Pin-Ms|X-Hop|keep-alive|15000/);
    expect(text).toMatch(/X-Own\|kept/);
    expect(text).toMatch(/Last-Event-Id\|3/);
    expect(text).toMatch(/Deadline-Ms\|14200/);
    expect(text).toMatch(/Expected-Instance\|i-7/);
    expect(text).toMatch(/Tenant\|n/);
  });

  it('should contain the last event id of the caller if a stream is resumed', () => {
    const forwarded = platformDialect.buildRequestHeaders(headers, {
      workerId: 'i-7', account: undefined, remainingMs: 1, lastEventId: '12',
    });
    expect(forwarded.filter((item) => item === 'Last-Event-Id')).toHaveLength(1);
    expect(forwarded.join('|')).toMatch(/Last-Event-Id\|12/);
    expect(forwarded.join('|')).not.toMatch(/Tenant/);
  });
});

describe('the calls of backend servers on the platform', () => {
  it('should be decoded into an announcement', () => {
    const announcement = decodeHeartbeat('i-7', Buffer.from(JSON.stringify({
      service: 's', address: '10.0.0.9:80', zone: 'a', version: 'v1', slots: 7, state: 'draining', cold_remaining_ms: 12.6, sequence: 4, phase: 'aggregated', born: 1_764_722_000_123,
    })));
    expect(announcement).toMatchObject({
      workerId: 'i-7', service: 's', address: '10.0.0.9:80', slots: 7, state: 'draining', coldMs: 13, sequence: 4, born: 1_764_722_000_123,
    });
    expect(decodeDeregistration('i-7', Buffer.alloc(0))).toMatchObject({ workerId: 'i-7', state: 'gone', born: 0 });
    expect(decodeDeregistration('i-7', Buffer.from('{"born":7}')).born).toBe(7);
  });

  // Fault: a strict decoder left the mark in the text, so such a server was no longer known.
  it('should be decoded with a byte order mark', () => {
    expect(decodeDeregistration('i-7', Buffer.from('\uFEFF{"born":7}')).born).toBe(7);
  });

  /*
   * Guards against invalid announcements of other software: a number is not an integer, a field is
   * missing or has another type, or the address is invalid.
   */
  it.each([
    { born: 1.5 }, { born: '1764722000123' }, { born: -1 }, { born: null }, { born: 1e300 },
    { sequence: 1.25 }, { sequence: '4' }, { sequence: undefined }, { slots: 0 }, { slots: 'six' },
    { slots: undefined }, { state: 'paused' }, { state: undefined }, { state: '__proto__' },
    { service: '' }, { service: 7 }, { service: undefined }, { zone: 7 }, { zone: undefined },
    { address: '10.0.0.9' }, { address: '10.0.0.999:80' }, { address: '10.0.0.9:99999' },
    { address: '10.0.0.9:0' }, { address: ':::80' }, { address: undefined },
    { cold_remaining_ms: 'long' }, { version: 3 },
  ])('should be refused with a result code if they contain %j', (fields) => {
    const body = Buffer.from(JSON.stringify({
      service: 's', address: '10.0.0.9:80', zone: 'a', version: 'v1', slots: 7, state: 'ready', cold_remaining_ms: 0, sequence: 4, born: 7, ...fields,
    }));
    expect(() => decodeHeartbeat('i-7', body)).toThrow(expect.objectContaining({ code: 'announcementInvalid' }));
  });

  it('should be refused if the body cannot be decoded', () => {
    const bytes = Buffer.concat([Buffer.from('{"service":"'), Buffer.from([0xff, 0xfe]), Buffer.from('"}')]);
    expect(() => decodeHeartbeat('i-7', bytes)).toThrow(expect.objectContaining({ code: 'malformedJson' }));
    expect(() => decodeDeregistration('i-7', bytes)).toThrow(expect.objectContaining({ code: 'malformedJson' }));
    expect(() => decodeDeregistration('i-7', Buffer.from('{"born":"soon"}'))).toThrow(expect.objectContaining({ code: 'announcementInvalid' }));
  });

  it.each(['', '{', '[]', '{"service":"s"}', '{"service":"s","address":"x","zone":"a","state":"ready","sequence":1}'])('should be refused if the body is %s', (body) => {
    expect(() => decodeHeartbeat('i-7', Buffer.from(body))).toThrow();
  });
});

describe('settings on the platform', () => {
  const common = {
    name: 'n', zone: 'a', ip: '10.0.0.4', seeds: '10.0.0.1:8229,10.0.0.2:8229', internalPorts: '7600,7615', directoryAddress: '10.0.0.4:3',
  };
  const relay = {
    ...common, callerAddress: '10.0.0.4:1', readinessAddress: '10.0.0.4:2', graceSeconds: 8, retryRatio: 0.2, retrySlack: 56, retryWindowSeconds: 10,
  };

  it('should define internal addresses by the IPs and the first internal port', () => {
    const settings = parseRelaySettings(`// filled in\n${JSON.stringify(relay)}`);
    expect(listSeeds(settings)).toEqual(['10.0.0.1:7600', '10.0.0.2:7600']);
    expect(buildPeerAddress(settings)).toBe('10.0.0.4:7600');
    expect(settings.logLevel).toBe('info');
  });

  it('should be refused with an error that lists every invalid field', () => {
    expect(() => parseRelaySettings(JSON.stringify({ ...relay, graceSeconds: 'x', retryRatio: -1 }))).toThrow(/graceSeconds[\s\S]*retryRatio/);
    expect(() => parseControlSettings(JSON.stringify(common))).toThrow(/dataFolder/);
    expect(() => parseControlSettings('{')).toThrow();
  });
});
