import { setTimeout as pause } from 'node:timers/promises';
import { PlatformSite } from '../fakes/platformSite';
import type { ProcessEnd } from '../fakes/platformSite';
import { REPLICAS } from './soakPlan';
import type { SoakPlan } from './soakPlan';
import type { EntryStop } from './soakRecords';

const MS_PER_SECOND = 1_000;
/** Time from the end of a control replica to its next start, in milliseconds. */
const CONTROL_RESTART_MS = 300;
const POLL_MS = 50;
/** Most lines that are kept of each process. */
const MOST_LINES = 50_000;
/** An entry that has written this serves callers. */
const SERVES_MESSAGE = '"message":"entry is listening"';
/** An error that follows from the disruptions: a leader that is down can't take the report. */
const EXPECTED_ERROR = 'the shutdown was not reported to the leader';

/** Whether no process may write a line: it is an error, or not of the log. */
const isOdd = (line: string): boolean => (
  !line.includes(EXPECTED_ERROR) && !/^\{"level":"(?:debug|info|warn)"/.test(line));

/** Stops, restarts and freezes the processes of a site, and keeps their lines. */
export class SoakProcesses {
  readonly stops: EntryStop[] = [];

  /** Lines and ends that no rule allows. */
  readonly oddities: string[] = [];

  readonly lines = new Map<string, string[]>();

  private readonly serving = new Set<string>();

  /** Control replicas that were asked to end. */
  private readonly ending = new Map<string, (end: ProcessEnd) => void>();

  private readonly stopping = new Map<string, EntryStop>();

  private isClosing = false;

  private constructor(private readonly plan: SoakPlan, readonly site: PlatformSite) {}

  /** Starts all processes. */
  static async open(plan: SoakPlan): Promise<SoakProcesses> {
    const processes: SoakProcesses = new SoakProcesses(plan, await PlatformSite.open({
      graceSeconds: plan.graceSeconds,
      recordLine: (name, line) => processes.recordLine(name, line),
      recordEnd: (name, end) => processes.recordEnd(name, end),
    }));
    processes.replicas.forEach((replica) => processes.site.startControl(replica, true));
    processes.machines.forEach((machine) => processes.site.startEntry(machine));
    return processes;
  }

  get replicas(): readonly number[] {
    return Array.from({ length: REPLICAS }, (unused, index) => index + 1);
  }

  /** Machines of the entries. */
  get machines(): readonly number[] {
    return Array.from({ length: this.plan.entries }, (unused, index) => index + 1 + REPLICAS);
  }

  /** Names the process of a planned entry. */
  nameEntry(entry: number): string {
    return `entry-${this.machines[entry]}`;
  }

  /** Sends SIGTERM to an entry, also if it is stopping; it is started again when it has ended. */
  stopEntry(name: string): void {
    if (!this.site.isRunning(name)) return;
    this.sendSignal(name, 'SIGTERM');
    if (this.stopping.has(name)) return;
    const stop: EntryStop = {
      name, at: performance.now(), hadStarted: this.serving.has(name), lines: [],
    };
    this.stops.push(stop);
    this.stopping.set(name, stop);
    setTimeout(() => {
      if (this.stopping.get(name) === stop) this.sendSignal(name, 'SIGKILL');
    }, this.plan.graceSeconds * MS_PER_SECOND).unref();
  }

  /** Sends SIGTERM again to an entry that is stopping. */
  repeatStop(name: string): void {
    if (this.stopping.has(name)) this.sendSignal(name, 'SIGTERM');
  }

  /** Sends SIGHUP to an entry; before it serves, it may have no handler. */
  sendHangUp(name: string): void {
    if (this.serving.has(name)) this.sendSignal(name, 'SIGHUP');
  }

  /** Ends and restarts a control replica, unless it is down. */
  async restartControl(replica: number, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const name = `control-${replica}`;
    if (!this.site.isRunning(name) || this.ending.has(name)) return;
    const ended = new Promise<ProcessEnd>((resolve) => {
      this.ending.set(name, resolve);
    });
    this.sendSignal(name, signal);
    const { code } = await ended;
    if (signal === 'SIGTERM' && code !== 0) this.oddities.push(`${name} ended after SIGTERM with ${code}`);
    await pause(CONTROL_RESTART_MS);
    if (!this.isClosing) this.site.startControl(replica, false);
  }

  /** Suspends a process; not an entry in the second half of its grace: it needs that to end. */
  async freeze(name: string, lastsMs: number): Promise<void> {
    const stopAt = this.stopping.get(name)?.at ?? Infinity;
    const halfMs = this.plan.graceSeconds * MS_PER_SECOND * 0.5;
    if (performance.now() + lastsMs > stopAt + halfMs) return;
    this.keepMark(name, `SIGSTOP for ${lastsMs} ms`);
    this.site.freeze([name]);
    await pause(lastsMs);
    this.site.resume([name]);
  }

  /** Resolves when all entries run and none is stopping. */
  async waitRestarts(): Promise<void> {
    const isSteady = this.machines.every((machine) => this.site.isRunning(`entry-${machine}`));
    if (isSteady && this.stopping.size === 0) return;
    await pause(POLL_MS);
    await this.waitRestarts();
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    this.isClosing = true;
    await this.site.close();
  }

  private sendSignal(name: string, signal: 'SIGTERM' | 'SIGHUP' | 'SIGKILL'): void {
    this.keepMark(name, signal);
    this.site.sendSignal(name, signal);
  }

  private keepMark(name: string, text: string): void {
    this.keepLine(name, `--- ${new Date().toISOString()} ${text}`);
  }

  private keepLine(name: string, line: string): void {
    const kept = this.lines.get(name) ?? [];
    this.lines.set(name, kept);
    if (kept.length < MOST_LINES) kept.push(line);
  }

  private recordLine(name: string, line: string): void {
    this.keepLine(name, line);
    this.stopping.get(name)?.lines.push(line);
    if (line.includes(SERVES_MESSAGE)) this.serving.add(name);
    if (isOdd(line)) this.oddities.push(`${name} wrote: ${line}`);
  }

  private recordEnd(name: string, end: ProcessEnd): void {
    this.keepMark(name, `ended with ${end.code ?? end.signal}`);
    const stop = this.stopping.get(name);
    const resolve = this.ending.get(name);
    [this.serving, this.stopping, this.ending].forEach((names) => names.delete(name));
    if (this.isClosing) return;
    if (stop) Object.assign(stop, { end, endedAt: performance.now() });
    if (!stop && !resolve) this.oddities.push(`${name} ended unasked with ${end.code ?? end.signal}`);
    resolve?.(end);
    if (!resolve) setTimeout(() => this.restartEntry(name), this.plan.restartMs);
  }

  private restartEntry(name: string): void {
    if (!this.isClosing && name.startsWith('entry')) this.site.startEntry(Number(name.split('-')[1]));
  }
}
