/**
 * Fits a line to the CPU time and memory of each role at several loads, for docs/CAPACITY.md, with
 * real processes on loopback. CPU time is that of the measured process, without other load.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { ControlClient, ClaimValue, Announcement } from '../src/protocol/generated/beechlift';
import { ClaimClient } from '../src/entry/sending/claimClient';
import { makeScheduleTables } from '../src/core/schedule/scheduleTables';
import { handleScheduleEvent } from '../src/core/schedule/poolSchedule';
import { Operation } from '../src/utils/operation';
import { LinkTable } from '../src/wire/linkTable';
import {
  API_KEY, hashKey, makeManifest, TestSite, waitUntil,
} from '../tests/fakes/testSite';
import type { SiteProcess } from '../tests/fakes/testSite';
import { startEngine } from './benchEngine';

const MEASUREMENT_MS = 5_000;
const HEARTBEAT_MS = 500;
const ENTRY_COUNTS = [8, 32, 64, 128];
const MIB = 1_048_576;
const CLOCK_TICKS_PER_SECOND = 100;

type Points = readonly (readonly [number, number])[];

/** CPU time and elapsed time of a measurement. */
interface CpuUsage {
  readonly cpuSeconds: number;
  readonly elapsedSeconds: number;
}

interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest deviation from the line, as a share of the largest value. */
  readonly residual: number;
}

const computeFit = (points: Points): LinearFit => {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)));
  const residual = Math.max(
    ...points.map(([x, y]) => Math.abs(y - intercept - slope * x)),
  ) / largest;
  return { slope, intercept, residual };
};

const printFit = (name: string, unit: string, points: Points): LinearFit => {
  const fit = computeFit(points);
  console.log(`${name}: ${points.map(([x, y]) => `${x}: ${y.toFixed(3)}`).join(', ')}`);
  console.log(`  = ${fit.intercept.toFixed(4)} + ${fit.slope.toPrecision(4)} x ${unit}, residual ${(fit.residual * 100).toFixed(1)} %`);
  return fit;
};

const readProcFile = async (siteProcess: SiteProcess, file: string): Promise<string> => {
  const { readFile } = await import('node:fs/promises');
  return readFile(`/proc/${siteProcess.child.pid}/${file}`, 'utf8');
};

const readCpuSeconds = async (siteProcess: SiteProcess): Promise<number> => {
  const fields = (await readProcFile(siteProcess, 'stat')).split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
};

const readMemoryMib = async (siteProcess: SiteProcess): Promise<number> => (
  Number(/VmRSS:\s+(\d+)/.exec(await readProcFile(siteProcess, 'status'))?.[1] ?? 0) * 1_024) / MIB;

const measureCpu = async (
  siteProcess: SiteProcess,
  run: () => Promise<unknown>,
): Promise<CpuUsage> => {
  const before = await readCpuSeconds(siteProcess);
  const startedAt = performance.now();
  await run();
  const elapsedSeconds = (performance.now() - startedAt) / 1_000;
  return { cpuSeconds: await readCpuSeconds(siteProcess) - before, elapsedSeconds };
};

const runInOrder = async <Item>(
  items: readonly Item[],
  run: (item: Item) => Promise<void>,
): Promise<void> => {
  await items.reduce<Promise<void>>(async (previous, item) => {
    await previous;
    await run(item);
  }, Promise.resolve());
};

/** Measures the CPU time of a leader that receives heartbeats of many entries. */
const measureHeartbeats = async (site: TestSite): Promise<void> => {
  const [leader] = site.controls as [SiteProcess];
  const points: [number, number][] = [];
  await runInOrder(ENTRY_COUNTS, async (count) => {
    const links = Array.from({ length: count }, () => new LinkTable(ControlClient));
    const sendHeartbeat = (link: LinkTable<ControlClient>, position: number) => link
      .find(leader.address).call<object, object>(
        (stub) => stub.heartbeat.bind(stub) as never,
        {
          member: {
            id: `d${position}`,
            incarnation: 'x',
            peerAddress: '127.0.0.1:1',
            callerAddress: '127.0.0.1:1',
            zone: 'az-1',
            state: 'active',
          },
          manifestVersion: 1,
          manifestDigest: 'x',
          viewNumber: 0,
        },
        new Operation({ timeoutMs: 400 }),
      ).catch(() => undefined);
    const timers = links.map((link, position) => (
      setInterval(() => sendHeartbeat(link, position), HEARTBEAT_MS)));
    await pause(2_000);
    const { cpuSeconds, elapsedSeconds } = await measureCpu(leader, () => pause(MEASUREMENT_MS));
    timers.forEach((timer) => clearInterval(timer));
    links.forEach((link) => link.close());
    points.push([count, (cpuSeconds / elapsedSeconds) * 100]);
    await pause(3_000);
  });
  printFit('leader, % of a core by entries that send 2 heartbeats/s each and receive the whole view and manifest', '%', points);
};

const setFault = async (engine: string, kind: string): Promise<void> => {
  const response = await request(`http://${engine}/v1/fault`, {
    method: 'POST', body: JSON.stringify({ kind }),
  });
  await response.body.dump();
};

const DISPATCHED = ClaimValue.fromPartial({ state: 'dispatched', streamId: 'x' });
const FINISHED = ClaimValue.fromPartial({
  state: 'finished', answer: Buffer.alloc(400), answerKept: true,
});

/** Measures the CPU time and memory of one claim holder. */
const measureClaims = async (site: TestSite): Promise<void> => {
  const [holder] = site.controls as [SiteProcess];
  const links = new LinkTable(ControlClient);
  const holders = (await site.readControl()).holders ?? { number: 1, current: [], previous: [] };
  const client = new ClaimClient('bench', links, () => holders);
  const points: [number, number][] = [];
  await runInOrder([200, 800, 1_600], async (count) => {
    const claimNumbers = Array.from({ length: count }, (unused, position) => position);
    const { cpuSeconds } = await measureCpu(holder, () => Promise.all(
      claimNumbers.map(async (claimNumber) => {
        await pause(claimNumber / 2);
        const operation = new Operation({ timeoutMs: 5_000 });
        const ticket = await client.prepare(`a\n${count}-${claimNumber}`, operation);
        await client.accept(ticket, DISPATCHED, operation);
        await client.accept(ticket, FINISHED, operation);
      }),
    ));
    points.push([count * 3, cpuSeconds * 1_000]);
  });
  printFit('holder, ms of CPU time by synced votes', 'ms', points);
  const memory = await readMemoryMib(holder);
  console.log(`holder, memory with ${points.reduce((sum, [votes]) => sum + votes / 3, 0)} claims: ${memory.toFixed(1)} MiB`);
  links.close();
};

const sendRequest = async (entry: SiteProcess, tokens: number, agent: Agent): Promise<void> => {
  const response = await request(`http://${entry.address}/v1/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'guide', prompt: 'hello', max_tokens: tokens, stream: true,
    }),
  });
  await response.body.dump({ limit: 1e9 });
};

const sendRequests = (
  entry: SiteProcess,
  count: number,
  tokens: number,
  agent: Agent,
): Promise<unknown> => Promise.all(
  Array.from({ length: count }, () => sendRequest(entry, tokens, agent)),
);

/** Measures the CPU time and memory of one entry by tokens, requests and open streams. */
const measureStreams = async (site: TestSite, address: string): Promise<void> => {
  const [entry] = site.entries as [SiteProcess];
  const agent = new Agent({ connections: 2_000 });
  await Promise.all(Array.from({ length: 32 }, () => sendRequest(entry, 50, agent)));
  const tokens: [number, number][] = [];
  await runInOrder([50, 200, 400], async (count) => {
    const { cpuSeconds } = await measureCpu(entry, () => sendRequests(entry, 32, count, agent));
    tokens.push([count * 32, cpuSeconds * 1_000]);
  });
  printFit('entry, ms of CPU time by relayed tokens (32 streams)', 'ms', tokens);
  const requests: [number, number][] = [];
  await runInOrder([100, 300, 600], async (count) => {
    const { cpuSeconds } = await measureCpu(entry, () => sendRequests(entry, count, 1, agent));
    requests.push([count, cpuSeconds * 1_000]);
  });
  printFit('entry, ms of CPU time by requests of one token without an idempotency key', 'ms', requests);
  const memory: [number, number][] = [];
  await runInOrder([1, 150, 300, 450], async (count) => {
    // A stalled engine keeps all streams open at once.
    await setFault(address, 'stall');
    const running = sendRequests(entry, count, 2, agent);
    await waitUntil('all streams are open', async () => (await site.readStatus(entry)).open >= count);
    memory.push([count, await readMemoryMib(entry)]);
    await setFault(address, 'none');
    await running;
  });
  printFit('entry, MiB by open streams', 'MiB', memory);
};

/** Measures streams with an engine that is stopped afterwards, also after an error. */
const measureStreamsWithEngine = async (site: TestSite): Promise<void> => {
  const { child, address } = await startEngine(site, { decodeMs: 2, slots: 2_000 });
  try {
    await measureStreams(site, address);
  } finally {
    child.kill('SIGKILL');
  }
};

/** Measures the memory of an entry by client accounts, and of a pool owner by workers. */
const measureTableMemory = async (site: TestSite): Promise<void> => {
  const [entry] = site.entries as [SiteProcess];
  const accounts: [number, number][] = [];
  await runInOrder([100, 4_000, 13_000], async (count) => {
    const manifest = makeManifest(100 + count, {
      accounts: Object.fromEntries(Array.from({ length: count }, (unused, position) => [`a${position}`, {
        keyHashes: [hashKey(`k${position}`)], tiers: ['door'], concurrency: 10,
      }])),
      limits: { queuePerPool: 1_000_000 },
    });
    const reply = await site.submit(manifest);
    if (reply.code !== 0) throw new Error(reply.message);
    await site.waitForVersion(100 + count);
    await pause(2_000);
    accounts.push([count, await readMemoryMib(entry)]);
  });
  printFit('entry, MiB by client accounts', 'MiB', accounts);
  const workers: [number, number][] = [];
  [100, 1_000, 3_000].forEach((count) => {
    global.gc?.();
    const before = process.memoryUsage().heapUsed;
    const tables = makeScheduleTables('p', {
      tiers: {}, accounts: {}, models: {}, pools: {}, limits: { workersPerPool: 10_000 } as never,
    }, [], 0);
    const startedAt = process.cpuUsage();
    Array.from({ length: count }).forEach((unused, position) => handleScheduleEvent(tables, {
      kind: 'announce',
      announcement: Announcement.fromPartial({
        id: `w${position}`, hardware: 'h', models: ['m'], slots: 8, state: 'ready',
      }),
    }, 1));
    const cpuUsage = process.cpuUsage(startedAt);
    global.gc?.();
    workers.push([count, (process.memoryUsage().heapUsed - before) / 1_024]);
    console.log(`owner, ${count} announcements: ${((cpuUsage.user + cpuUsage.system) / count).toFixed(1)} us of CPU time each; workers in the table: ${tables.workers.size}`);
  });
  printFit('owner, KiB of heap by workers', 'KiB', workers);
};

/** Measures the time from the acceptance of a manifest until it is in force on all entries. */
const measureManifestChange = async (site: TestSite): Promise<void> => {
  const times: number[] = [];
  await runInOrder(
    Array.from({ length: 10 }, (unused, position) => position + 2),
    async (version) => {
      await site.submit(makeManifest(version));
      const acceptedAt = performance.now();
      await site.waitForVersion(version);
      times.push(performance.now() - acceptedAt);
    },
  );
  console.log(`8 entries, from accepted to in force on all: max ${Math.max(...times).toFixed(0)} ms of ${times.length} changes (heartbeats every 200 ms)`);
  const frozenEntry = site.entries[0] as SiteProcess;
  site.freeze(frozenEntry, true);
  await site.submit(makeManifest(50));
  const acceptedAt = performance.now();
  await site.waitForVersion(50, site.entries.slice(1));
  console.log(`one entry frozen: in force on the other 7 after ${(performance.now() - acceptedAt).toFixed(0)} ms`);
  site.freeze(frozenEntry, false);
  const { id } = await site.readControl();
  const killedAt = performance.now();
  await site.kill(site.controls.find((control) => control.id === id) as SiteProcess);
  await site.submit(makeManifest(51));
  await site.waitForVersion(51);
  console.log(`leader killed just before the submit: in force on all entries ${(performance.now() - killedAt).toFixed(0)} ms after the kill`);
  const restartedReplica = site.controls.find(({ child }) => (
    child.exitCode === null && child.signalCode === null)) as SiteProcess;
  const versions = Array.from({ length: 1_000 }, (unused, position) => position + 100);
  await runInOrder(versions, async (version) => {
    await site.submit(makeManifest(version));
  });
  await site.kill(restartedReplica);
  const restartedAt = performance.now();
  site.restart(restartedReplica);
  await site.submit(makeManifest(2_000));
  await site.waitForVersion(2_000);
  console.log(`a replica restarted with 1,000 changes in its log: the next change in force on all entries ${(performance.now() - restartedAt).toFixed(0)} ms after the restart`);
};

/** Runs a measurement with a site that is stopped afterwards, also after an error. */
const runWithSite = async (
  controlCount: number,
  entryCount: number,
  run: (site: TestSite) => Promise<void>,
): Promise<void> => {
  const site = new TestSite();
  try {
    await site.start(controlCount, entryCount);
    await run(site);
  } finally {
    await site.stop();
  }
};

const measureIdle = async (site: TestSite): Promise<void> => {
  const [control, entry] = [site.controls[0] as SiteProcess, site.entries[0] as SiteProcess];
  const sizes = await Promise.all([control, entry].map(readMemoryMib));
  console.log(`idle, MiB of control and entry: ${sizes.map((size) => size.toFixed(1)).join(', ')}`);
  const idle = await measureCpu(entry, () => pause(MEASUREMENT_MS));
  console.log(`entry without requests: ${((idle.cpuSeconds / idle.elapsedSeconds) * 100).toFixed(2)} % of a core`);
};

const measureSlopes = async (): Promise<void> => {
  await runWithSite(1, 2, async (site) => {
    if (!process.argv.includes('--control')) {
      await measureIdle(site);
      await measureStreamsWithEngine(site);
      await measureClaims(site);
    }
    await measureTableMemory(site);
  });
  await runWithSite(1, 0, measureHeartbeats);
  await runWithSite(3, 8, measureManifestChange);
};

measureSlopes().then(() => process.exit(0)).catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
