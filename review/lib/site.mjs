/**
 * Starts the project's own programs as separate processes, with the commands and the templates of
 * the deploy file, each machine with a loopback address of its own.
 */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import {
  mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import process from 'node:process';
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from './http.mjs';

const ZONES = ['greenville', 'clarksdale', 'yazoo'];
const PROGRAM = resolve('target/beechlift.cjs');
const PORT_COUNT = 8;

/** Bounds of the small deployment `dbr-hq`, as its settings file gives them. */
const BOUNDS = {
  revoke_ms: 5000,
  config_apply_ms: 2000,
  quota_slack: 190_000,
  grace_s: 8,
  retry_budget_ratio: 0.2,
  retry_slack: 52,
  retry_window_s: 10,
};

/** Statuses that end a call of the operator. */
const FINAL_STATUSES = [200, 400, 409, 412, 413, 422];

const isFree = (host, port) => new Promise((done) => {
  const server = createServer();
  server.once('error', () => done(false));
  server.listen(port, host, () => server.close(() => done(true)));
});

/** Finds a first port such that all ports of all addresses are free. */
const findPorts = async (hosts) => {
  const first = 12_000 + 16 * Math.floor(Math.random() * 1_000);
  const ports = Array.from({ length: PORT_COUNT }, (unused, index) => first + index);
  const free = await Promise.all(hosts.flatMap((host) => ports.map((port) => isFree(host, port))));
  return free.every(Boolean) ? ports : findPorts(hosts);
};

const readField = (fields, path) => path.split('.').reduce((value, key) => value?.[key], fields);

/** Fills the placeholders of a template of the settings. */
const fillTemplate = (path, fields) => readFileSync(path, 'utf8').replace(
  /\{\{([\w.]+)(\|json)?\}\}/g,
  (unused, name, json) => {
    const value = readField(fields, name);
    return json ? JSON.stringify(value) : String(value);
  },
);

/** Three control replicas and some entries of a small deployment. */
export class Site {
  /** @param entryCount number of entries */
  constructor(entryCount) {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    const block = 1 + Math.floor(Math.random() * 200);
    this.controls = [1, 2, 3].map((number) => ({ name: `control-${number}`, ip: `127.${block}.0.${number}`, role: 'control' }));
    this.entries = Array.from({ length: entryCount }, (unused, index) => ({
      name: `entry-${index + 1}`, ip: `127.${block}.1.${index + 1}`, role: 'relay',
    }));
    this.serverHost = `127.${block}.2.1`;
    this.processes = new Map();
    this.exits = [];
    // Nothing that was started outlives the script, also if it is ended early.
    process.once('exit', () => this.processes.forEach((child) => child.kill('SIGKILL')));
    ['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(2)));
  }

  /** Starts all machines for the first time. */
  async open() {
    const machines = [...this.controls, ...this.entries];
    this.ports = await findPorts(machines.map(({ ip }) => ip));
    const [operatorPort, callerPort] = this.ports;
    this.operators = this.controls.map(({ ip }) => `${ip}:${operatorPort}`);
    this.callerAddresses = this.entries.map(({ ip }) => `${ip}:${callerPort}`);
    machines.forEach((machine) => this.startMachine(machine, true));
  }

  /** Starts the program of a machine. */
  startMachine({ name, ip, role }, isFirstStart = false) {
    const [operatorPort, callerPort, directoryPort, readinessPort, internalPort] = this.ports;
    const index = Number(name.split('-')[1]) - 1;
    const file = join(this.folder, `${name}.jsonc`);
    writeFileSync(file, fillTemplate(`deploy/${role}.jsonc`, {
      node_name: name,
      zone: ZONES[index % ZONES.length],
      ip,
      listen_addresses: {
        control_plane: `${ip}:${operatorPort}`,
        frontend: `${ip}:${callerPort}`,
        directory_service: `${ip}:${directoryPort}`,
        readiness_address: `${ip}:${readinessPort}`,
      },
      data_dir: join(this.folder, `data-${name}`),
      seed_nodes: this.operators.join(','),
      internal_port_range: `${internalPort},${internalPort + 1}`,
      bootstrap: isFirstStart,
      fault_tolerance: { machine_losses: 1 },
      bounds: BOUNDS,
    }));
    const child = spawn(process.execPath, [PROGRAM, role], {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BEECHLIFT_SETTINGS: file },
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    child.once('exit', (code, signal) => {
      const isKilled = this.processes.get(name) !== child;
      if (!isKilled) this.exits.push({ name, code, signal });
    });
    this.processes.set(name, child);
  }

  /** Stops the program of a machine; resolves once it has ended. */
  stopMachine({ name }, signal = 'SIGKILL') {
    const child = this.processes.get(name);
    this.processes.delete(name);
    return new Promise((done) => {
      child.once('exit', done);
      child.kill(signal);
    });
  }

  /** Sends a signal to the program of a machine. */
  sendSignal({ name }, signal) {
    this.processes.get(name)?.kill(signal);
  }

  /** Finds the control replica that leads, by its own metrics. */
  async findLeader() {
    const texts = await Promise.all(this.operators.map(async (address) => {
      const answer = await sendRequest(address, { method: 'GET', path: '/metrics' }).catch(() => undefined);
      return answer?.body.toString() ?? '';
    }));
    return this.controls[texts.findIndex((text) => /^beechlift_control_leads 1$/m.test(text))];
  }

  /** Sends a config as the operator does, until a replica answers with 200 or a final refusal. */
  async publish(config, tries = 40) {
    const body = Buffer.isBuffer(config) ? config : Buffer.from(JSON.stringify(config));
    const address = this.operators[tries % this.operators.length];
    const answer = await sendRequest(address, {
      method: 'POST',
      path: '/v1/Configuration.Replace',
      headers: { 'Content-Type': 'application/json' },
      body,
      timeoutMs: 3_000,
    }).catch(() => undefined);
    const status = answer?.status ?? 0;
    if (FINAL_STATUSES.includes(status) || tries === 0) return status;
    await pause(250);
    return this.publish(config, tries - 1);
  }

  /** Reads the config in force as the operator does; undefined if none comes. */
  async readConfig(tries = 20) {
    const address = this.operators[tries % this.operators.length];
    const answer = await sendRequest(address, { method: 'GET', path: '/v1/Configuration.Read' })
      .catch(() => undefined);
    if (answer?.status === 200) return answer.body;
    if (tries === 0) return undefined;
    await pause(200);
    return this.readConfig(tries - 1);
  }

  /** Ends all processes. */
  async close() {
    const names = [...this.processes.keys()];
    await Promise.all(names.map((name) => this.stopMachine({ name })));
    rmSync(this.folder, { recursive: true, force: true });
  }
}
