import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import {
  afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import { APPLY_MS, PlatformSite } from '../fakes/platformSite';
import { ScriptedServer } from '../fakes/scriptedServer';

const WAIT_MS = 20_000;
const waitFor = async (description: string, isDone: () => Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + WAIT_MS;
  const poll = async (): Promise<void> => {
    if (await isDone().catch(() => false)) return;
    if (performance.now() > deadline) throw new Error(`timed out after ${WAIT_MS} ms: ${description}`);
    await pause(25);
    await poll();
  };
  await poll();
};

const buildDocument = (version: number, keys: readonly string[] = ['k1']): object => ({
  version,
  routes: [{
    name: 'r', host: 'a.example', path_prefix: '/x/', route_kind: 'non_idempotent', timeout_ms: 3000, target_latency_ms: 300, priority: 0, service: 's', max_attempts: 1,
  }],
  services: [{ name: 's', max_connections: 50 }],
  tenants: [{ name: 'n', api_keys: keys, unit: 'requests' }],
});

describe('the programs on the platform', () => {
  let site: PlatformSite;
  let server: ScriptedServer;
  let sequence = 0;
  /** Time from the first acknowledged heartbeat until both entries sent requests to the server. */
  let discoveryMs = Infinity;

  const sendHeartbeat = (machine: number): Promise<number> => {
    sequence += 1;
    return site.post(machine, '/v1/Instances.Heartbeat/i-1', {
      service: 's', address: server.address, zone: 'a', slots: 4, state: 'ready', sequence,
    });
  };

  const sendRequest = async (machine: number, key = 'k1') => {
    const answer = await request(`http://127.0.0.${machine}:${site.entryPort}/x/1?y=2`, {
      method: 'POST',
      body: 'hello',
      headers: {
        host: 'a.example', 'attempt-id': 'ab12', 'deadline-ms': '3000', authorization: `Bearer ${key}`,
      },
    });
    return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
  };

  beforeAll(async () => {
    server = new ScriptedServer((socket, text) => {
      const body = `got ${text.split('\r\n')[0]}`;
      socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ab12\r\nServer-Stamp: 3e1b\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    });
    await server.listen();
    site = await PlatformSite.open();
    [1, 2, 3].forEach((machine) => site.startControl(machine, true));
    [4, 5].forEach((machine) => site.startEntry(machine));
    await waitFor('a document is accepted', async () => await site.post(2, '/v1/Configuration.Replace', buildDocument(1)) === 200);
    await waitFor('entries are ready', async () => await site.isReady(4) && site.isReady(5));
    await waitFor('a heartbeat is acknowledged', async () => await sendHeartbeat(3) === 200);
    const acknowledgedAt = performance.now();
    const isServed = async (machine: number) => (await sendRequest(machine)).status === 200;
    await waitFor('both entries send requests to the server', async () => await isServed(4) && isServed(5));
    discoveryMs = performance.now() - acknowledgedAt;
  });

  afterAll(async () => {
    await site.close();
    server.close();
  });

  it('should serve a request end to end and list the entries', async () => {
    const { status, headers, text } = await sendRequest(4);
    expect([status, text, headers['server-stamp']]).toEqual([200, 'got POST /x/1?y=2 HTTP/1.1', '3e1b']);
    expect(server.requests.at(-1)).toMatch(/Expected-Instance: i-1/);
    expect(server.requests.at(-1)).toMatch(/Tenant: n/);
    expect(server.requests.at(-1)).not.toMatch(/k1/);
    await waitFor('both entries are listed', async () => (await site.queryDirectory(1)).length === 2);
  });

  /*
   * Guards against refusals just after a server is acknowledged. Entries that were ready before the
   * first announcement answered "no backend server", as server updates are batched for 50 ms on a
   * small site.
   */
  it('should send requests to a server soon after it has announced itself', () => {
    expect(discoveryMs).toBeLessThan(1_000);
  });

  it('should expose metrics at entries and control replicas', async () => {
    const read = async (address: string): Promise<string> => (
      (await request(`http://${address}/metrics`)).body.text());
    const entry = await read(`127.0.0.4:${site.readinessPort}`);
    expect(entry).toMatch(/beechlift_answer_seconds_count\{kind="nonIdempotent"\} [1-9]/);
    expect(entry).toMatch(/beechlift_dropped_log_lines 0/);
    const control = await Promise.all([1, 2, 3].map((machine) => (
      read(`127.0.0.${machine}:${site.operatorPort}`))));
    const leads = control.filter((text) => /^beechlift_control_leads 1$/m.test(text));
    expect(leads).toHaveLength(1);
    expect(leads[0]).toMatch(/beechlift_backend_servers\{standing="ready"\} 1/);
    expect(leads[0]).toMatch(/beechlift_entries 2/);
  });

  it('should refuse an invalid document and keep serving', async () => {
    expect(await site.post(1, '/v1/Configuration.Replace', '{"version": 9, "routes')).toBeGreaterThanOrEqual(400);
    expect(await site.post(1, '/v1/Instances.Heartbeat/i-2', '{}')).toBe(400);
    expect((await sendRequest(5)).status).toBe(200);
  });

  // Fault: such a byte was replaced by U+FFFD, and the document with another key was acknowledged.
  it('should refuse a document that is not valid UTF-8 and keep the one in force', async () => {
    const before = await site.readDocument(1);
    const [head = '', rest = ''] = JSON.stringify(buildDocument(9, ['k?'])).split('?');
    const document = Buffer.concat([Buffer.from(head), Buffer.from([0xFF]), Buffer.from(rest)]);
    expect(await site.post(1, '/v1/Configuration.Replace', document)).toBe(400);
    expect(await site.readDocument(1)).toBe(before);
  });

  it('should refuse a key that a newer document removed', async () => {
    await waitFor('the key is replaced', async () => await site.post(3, '/v1/Configuration.Replace', buildDocument(5, ['k2'])) === 200);
    await waitFor('the old key is refused', async () => (await sendRequest(4)).status === 401);
    expect((await sendRequest(4, 'k2')).status).toBe(200);
  });

  // The replica is killed without a graceful shutdown and rejoins after a restart.
  it('should keep serving when a control replica is killed, and readmit it', async () => {
    await site.endProcess('control-1', 'SIGKILL');
    expect((await sendRequest(4, 'k2')).status).toBe(200);
    await waitFor('a change is accepted', async () => await site.post(2, '/v1/Configuration.Replace', buildDocument(8, ['k2'])) === 200);
    site.startControl(1, false);
    await waitFor('the restarted replica returns the newest document', async () => {
      const answer = await request(`http://127.0.0.1:${site.operatorPort}/v1/Configuration.Read`);
      return (await answer.body.json() as { version?: number }).version === 8;
    });
  });

  /*
   * Guards against callers that find no entry while all control replicas are down for seconds. The
   * entries keep serving under their leases, so they must be able to list each other.
   */
  it('should list the entries to callers while all control replicas are down', async () => {
    await waitFor('the entry lists both entries', async () => (await site.queryDirectory(4)).length === 2);
    await Promise.all([1, 2, 3].map((machine) => site.endProcess(`control-${machine}`, 'SIGKILL')));
    expect(await site.queryDirectory(4)).toHaveLength(2);
    expect((await sendRequest(4, 'k2')).status).toBe(200);
    [1, 2, 3].forEach((machine) => site.startControl(machine, false));
    await waitFor('control lists both entries', async () => (await site.queryDirectory(2)).length === 2);
  });

  /*
   * Guards against an entry that refuses a new key after the apply limit of the change. The entry
   * and the leader were suspended while another leader accepted the change, so the entry received
   * no update. Its lease was derived from the revocation limit instead of the shorter apply limit.
   * It must stop serving when its lease ends.
   */
  it('should not use an older document after the apply limit of a change', async () => {
    await waitFor('a replica leads', async () => await site.findLeader() > 0);
    const leader = `control-${await site.findLeader()}`;
    const others = ['control-1', 'control-2', 'control-3'].filter((name) => name !== leader);
    const other = Number(others[0]?.slice(-1));
    try {
      site.freeze([leader, 'entry-4']);
      await waitFor('a change is accepted', async () => await site.post(other, '/v1/Configuration.Replace', buildDocument(9, ['k2', 'k3'])) === 200);
      site.freeze(others);
      await pause(APPLY_MS + 100);
      site.resume(['entry-4']);
      expect((await sendRequest(4, 'k3')).status).toBe(503);
    } finally {
      site.resume([leader, ...others, 'entry-4']);
    }
    await waitFor('the new key is accepted', async () => (await sendRequest(4, 'k3')).status === 200);
  });

  it('should shut an entry down gracefully, after its removal from the directory', async () => {
    const ended = site.endProcess('entry-5', 'SIGTERM');
    await waitFor('the entry is no longer listed', async () => (await site.queryDirectory(2)).length === 1);
    expect((await sendRequest(5, 'k2')).status).toBe(200);
    expect(await ended).toBe(0);
  });
});
