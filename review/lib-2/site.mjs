/** Starts the programs of the deploy file on loopback addresses, like a small deployment. */
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import process from 'node:process';
import { callHttp, waitUntil } from './calls.mjs';

/** Machines of control: 127.0.0.1 to 127.0.0.3. */
export const REPLICAS = [1, 2, 3];
/** A machine of control that a case may add. */
export const ADDED_REPLICA = 4;

/** Below the range of ephemeral ports. */
const FIRST_PORT = 21_000;
const PORT_RANGE = 9_000;
/** The operator waits a second for a response, then asks another replica. */
const OPERATOR_TIMEOUT_MS = 1_000;

const formatIp = (machine) => `127.0.0.${machine}`;

const checkFree = (port, host) => new Promise((settle) => {
  const server = createServer();
  server.once('error', () => settle(false));
  server.listen(port, host, () => server.close(() => settle(true)));
});

const drawPort = () => FIRST_PORT + Math.floor(Math.random() * PORT_RANGE);

const findPorts = async (count, hosts, port = drawPort()) => {
  if (count === 0) return [];
  const areFree = await Promise.all(hosts.map((host) => checkFree(port, host)));
  const found = areFree.every(Boolean) ? [port] : [];
  return [...found, ...await findPorts(count - found.length, hosts, port + 1)];
};

/** Three control replicas and some entries, each with a loopback address of its own. */
export class Site {
  processes = new Map();

  folder = mkdtempSync(join(tmpdir(), 'review-site-'));

  constructor(entries, ports, recordLine) {
    this.entries = entries;
    this.recordLine = recordLine;
    [
      this.callerPort, this.operatorPort, this.directoryPort, this.readinessPort, this.internalPort,
    ] = ports;
  }

  /** Finds free ports; starts nothing yet. */
  static async open(entries, recordLine = () => undefined) {
    const hosts = [...REPLICAS, ADDED_REPLICA, ...entries].map(formatIp);
    return new Site(entries, await findPorts(5, hosts), recordLine);
  }

  startControl(machine, isFirstStart) {
    const ip = formatIp(machine);
    this.startProcess(`control-${machine}`, 'control', {
      ...this.buildCommon(ip),
      operatorAddress: `${ip}:${this.operatorPort}`,
      dataFolder: join(this.folder, `data-${machine}`),
      isFirstStart,
      replicaLosses: 1,
      revokeMs: 5_000,
      applyMs: 2_000,
      limitSlack: 190_000,
    });
  }

  startEntry(machine) {
    const ip = formatIp(machine);
    this.startProcess(`entry-${machine}`, 'relay', {
      ...this.buildCommon(ip),
      callerAddress: this.getEntryAddress(machine),
      readinessAddress: `${ip}:${this.readinessPort}`,
      graceSeconds: 8,
      retryRatio: 0.2,
      retrySlack: 56,
      retryWindowSeconds: 10,
    });
  }

  /** Starts all processes for the first time; resolves once a config is in force at all entries. */
  async startAll(document) {
    REPLICAS.forEach((machine) => this.startControl(machine, true));
    this.entries.forEach((machine) => this.startEntry(machine));
    await this.publish(document);
    await waitUntil(async () => {
      const ready = await Promise.all(this.entries.map((machine) => this.checkReady(machine)));
      return ready.every(Boolean);
    }, 'all entries are ready');
  }

  /** Kills all processes at the same moment; resolves once they have ended. */
  killAll() {
    return Promise.all([...this.processes.keys()].map((name) => this.endProcess(name)));
  }

  /** Starts all processes again, with their disks. */
  restartAll() {
    REPLICAS.forEach((machine) => this.startControl(machine, false));
    this.entries.forEach((machine) => this.startEntry(machine));
  }

  endProcess(name, signal = 'SIGKILL') {
    const child = this.processes.get(name);
    return new Promise((settle) => {
      if (!child) {
        settle();
        return;
      }
      child.once('exit', settle);
      child.kill(signal);
    });
  }

  getEntryAddress(machine) {
    return `${formatIp(machine)}:${this.callerPort}`;
  }

  /** Sends a call to a replica's address for servers and the operator. */
  postControl(machine, path, body) {
    return callHttp(`${formatIp(machine)}:${this.operatorPort}`, {
      method: 'POST',
      path,
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json' },
      timeoutMs: OPERATOR_TIMEOUT_MS,
    });
  }

  /** Sends a config to one replica after the other until one acknowledges it. */
  async publish(document) {
    let attempts = 0;
    await waitUntil(async () => {
      const machine = REPLICAS[attempts % REPLICAS.length];
      attempts += 1;
      const { status } = await this.postControl(machine, '/v1/Configuration.Replace', document);
      return status === 200;
    }, 'the config is acknowledged');
  }

  /** Reads the config back at a replica. */
  readConfig(machine) {
    return callHttp(`${formatIp(machine)}:${this.operatorPort}`, { path: '/v1/Configuration.Read', timeoutMs: OPERATOR_TIMEOUT_MS });
  }

  /** Removes the disk of a replica that was ended. */
  removeDisk(machine) {
    rmSync(join(this.folder, `data-${machine}`), { recursive: true, force: true });
  }

  /** Finds the machine of the replica that leads; 0 if none does. */
  async findLeader() {
    const answers = await Promise.all(REPLICAS.map((machine) => (
      callHttp(`${formatIp(machine)}:${this.operatorPort}`, { path: '/metrics', timeoutMs: 500 }))));
    return 1 + answers.findIndex(({ text }) => /^beechlift_control_leads 1$/m.test(text));
  }

  /** Sends a signal to a process, if it runs. */
  sendSignal(name, signal) {
    this.processes.get(name)?.kill(signal);
  }

  async checkReady(machine) {
    const { status } = await callHttp(`${formatIp(machine)}:${this.readinessPort}`, { path: '/v1/readyz', timeoutMs: 500 });
    return status === 200;
  }

  async close() {
    await this.killAll();
    rmSync(this.folder, { recursive: true, force: true });
  }

  buildCommon(ip) {
    return {
      name: ip,
      zone: 'a',
      ip,
      seeds: REPLICAS.map((machine) => `${formatIp(machine)}:${this.operatorPort}`).join(','),
      internalPorts: `${this.internalPort},${this.internalPort}`,
      directoryAddress: `${ip}:${this.directoryPort}`,
      memoryMb: 350,
      maxFiles: 4_100,
    };
  }

  startProcess(name, role, settings) {
    const file = join(this.folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    const { PATH, HOME } = process.env;
    const child = spawn(process.execPath, [resolve('target/beechlift.cjs'), role], {
      env: { PATH, HOME, BEECHLIFT_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe'],
    });
    [child.stdout, child.stderr].forEach((stream) => stream.on('data', (data) => this.recordLine(name, String(data))));
    child.once('exit', () => {
      if (this.processes.get(name) === child) this.processes.delete(name);
    });
    this.processes.set(name, child);
  }
}
