import { fork } from 'node:child_process';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { request } from 'undici';
import { FakeService } from '../fakes/fakeService';
import {
  API_KEY, makeManifest, TestSite, waitUntil,
} from '../fakes/testSite';
import type { SiteProcess } from '../fakes/testSite';

/** Time in which a part of an answer reaches the entry, in milliseconds. */
const PART_MS = 200;

describe('plain services under failure', () => {
  let site: TestSite;
  let first: SiteProcess;
  let second: SiteProcess;
  let services: FakeService[];
  let timer: NodeJS.Timeout;

  beforeEach(async () => {
    site = new TestSite();
    services = [];
    await site.start(3, 3, makeManifest(1, {
      services: { rooms: { timeoutMs: 8_000 } },
      pools: {
        engines: { kind: 'model', models: ['guide'] },
        rooms: { kind: 'service', services: ['rooms'] },
      },
    }));
    [first, second] = site.entries as [SiteProcess, SiteProcess, SiteProcess];
    timer = setInterval(() => {
      services.forEach((service) => service.announce().catch(() => undefined));
    }, 200);
  });
  afterEach(async () => {
    clearInterval(timer);
    services.forEach((service) => service.crash());
    await site.stop();
  });

  const addService = async (id: string): Promise<FakeService> => {
    const service = new FakeService(id, site.entries.map(({ address }) => address));
    await service.start();
    services.push(service);
    await waitUntil(`${id} is known`, async () => (await site.listWorkers()).includes(id));
    return service;
  };

  const askForRoom = async (entry: SiteProcess, key: string, headers: object = {}) => {
    const response = await request(`http://${entry.address}/services/rooms/issue?floor=2`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${API_KEY}`, 'idempotency-key': key, 'x-door': '17', ...headers,
      },
      body: 'for a family',
    });
    return {
      status: response.statusCode, headers: response.headers, text: await response.body.text(),
    };
  };

  const readErrorName = ({ text }: { text: string }): string => (
    (JSON.parse(text) as { error: { name: string } }).error.name);

  it('should pass method, path, headers and body, and the answer back', async () => {
    const service = await addService('s1');
    const answer = await askForRoom(first, 'k');
    expect([answer.status, answer.text, answer.headers['x-door']]).toEqual([201, 'room 1 by s1', '17']);
    expect(service.calls).toEqual(['POST /issue?floor=2 for a family']);
  });

  /*
   * The answer to a call is lost, and the caller sends the same key through another entry VM. It
   * must receive the same answer, and the service must be called once.
   */
  it('should give the same answer to a resend and call the service once', async () => {
    const service = await addService('s1');
    const answers = [await askForRoom(first, 'k'), await askForRoom(second, 'k')];
    expect(answers.map(({ status, text }) => [status, text]))
      .toEqual([[201, 'room 1 by s1'], [201, 'room 1 by s1']]);
    expect(service.calls).toHaveLength(1);
  });

  /*
   * The entry VM dies while the service processes the call. The outcome is unknown, so the resend
   * must be answered with "outcomeUnknown", and the service must not be called again.
   */
  it('should call nothing twice when the entry dies in mid-call', async () => {
    const service = await addService('s1');
    service.workMs = 1_000;
    const lost = askForRoom(first, 'k').catch(() => undefined);
    await waitUntil('the call has arrived', () => service.calls.length === 1);
    await site.kill(first);
    await lost;
    const again = await askForRoom(second, 'k');
    expect([again.status, readErrorName(again)]).toEqual([502, 'outcomeUnknown']);
    expect(service.calls).toHaveLength(1);
  });

  /*
   * The service dies while it processes the call. The caller must not receive "not run", and no
   * other service may receive the call.
   */
  it('should not claim that a call did not run when its service died', async () => {
    const service = await addService('s1');
    service.workMs = 5_000;
    const asked = askForRoom(first, 'k');
    await waitUntil('the call has arrived', () => service.calls.length === 1);
    service.crash();
    const other = await addService('s2');
    expect(readErrorName(await asked)).toBe('outcomeUnknown');
    expect(readErrorName(await askForRoom(second, 'k'))).toBe('outcomeUnknown');
    expect(other.calls).toHaveLength(0);
  });

  // Fault: the operating system closes the connections of a service that has ended in an orderly
  // way; the part of its answer was given to the caller as complete, and to each resend.
  it('should not give a part of an answer without a length when its service died', async () => {
    const service = await addService('s1');
    service.isCloseDelimited = true;
    service.workMs = 5_000;
    const asked = askForRoom(first, 'k');
    await waitUntil('the call has arrived', () => service.calls.length === 1);
    await pause(PART_MS);
    service.crash();
    const answers = [await asked, await askForRoom(second, 'k')];
    expect(answers.map((answer) => [answer.status, answer.status === 502 && readErrorName(answer)]))
      .toEqual([[502, 'outcomeUnknown'], [502, 'outcomeUnknown']]);
  });

  // Fault: the same, with the connections that the operating system closes for a killed process.
  it('should not give a part of an answer without a length when its service is killed', async () => {
    const program = fork('tests/fakes/serviceProgram.ts', ['s1', ...site.entries.map(({ address }) => address)], { execArgv: ['--import', 'tsx'] });
    let callCount = 0;
    program.on('message', (count) => {
      callCount = Number(count);
    });
    try {
      await waitUntil('s1 is known', async () => (await site.listWorkers()).includes('s1'));
      const asked = askForRoom(first, 'k');
      await waitUntil('the call has arrived', () => callCount === 1);
      program.kill('SIGKILL');
      const answers = [await asked, await askForRoom(second, 'k')];
      expect(answers.map(({ status }) => status)).toEqual([502, 502]);
      expect(answers.map(readErrorName)).toEqual(['outcomeUnknown', 'outcomeUnknown']);
    } finally {
      program.kill('SIGKILL');
    }
  });

  // Guards against whole answers that are taken for parts.
  it('should give an answer without a length whole when its service runs on', async () => {
    const service = await addService('s1');
    service.isCloseDelimited = true;
    service.workMs = PART_MS;
    const answers = [await askForRoom(first, 'k'), await askForRoom(second, 'k')];
    expect(answers.map(({ status, text }) => [status, text]))
      .toEqual([[201, 'room 1 by s1'], [201, 'room 1 by s1']]);
  });

  /*
   * One service announces itself, but nothing listens at its address. No call was sent, so each
   * must go to the other service instead of failing with "no backend".
   */
  it('should call another service when nothing could be sent', async () => {
    const crashed = await addService('s1');
    crashed.crash();
    const other = await addService('s2');
    const keys = ['a', 'b', 'c', 'd', 'e', 'f'];
    const answers = await Promise.all(keys.map((key) => askForRoom(first, key)));
    expect(answers.map(({ status }) => status)).toEqual(keys.map(() => 201));
    expect([crashed.calls.length, other.calls.length]).toEqual([0, 6]);
  });
});
