import { mkdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { waitFor } from '../fakes/controlSite';
import { SoakCaller } from '../fakes/soakCaller';
import { countTotals, listFaults } from './soakChecks';
import type { SoakRecords, SoakTotals } from './soakChecks';
import { buildDocument } from './soakDocument';
import { REPLICAS } from './soakPlan';
import type {
  Disruption, DisruptionKind, DocumentChange, PlannedCaller, SoakPlan,
} from './soakPlan';
import { SoakProcesses } from './soakProcesses';
import type { Attempt, ServerRun } from './soakRecords';
import { SoakServer } from '../fakes/soakServer';

/** Folder for the lines of the processes of a run that breaks a rule. */
const LOGS_FOLDER = process.env.BEECHLIFT_SOAK_LOGS ?? join(tmpdir(), 'beechlift-soak');
/** Time in which entries learn how fast the engines are, in milliseconds. */
const LEARNING_MS = 4_000;
const DESKS = 2;
/** Pause after a document that was not taken, in milliseconds, and most tries. */
const PUBLISH_RETRY_MS = 250;
const PUBLISH_TRIES = 20;
/** Processes that a caller asks for addresses before it gives up. */
const DIRECTORY_TRIES = 3;
const MS_PER_SECOND = 1_000;

/** What came of a run. */
export interface SoakResult {
  readonly faults: readonly string[];
  readonly totals: SoakTotals;
  /** Where the lines of the processes are, if a rule was broken. */
  readonly logs: string;
}

/** Carries a plan out with real processes, and checks what callers and servers saw. */
export class SoakRun {
  private readonly attempts: Attempt[] = [];

  private readonly runs = new Map<string, ServerRun[]>();

  private readonly changes: { at: number; change: DocumentChange }[] = [];

  private readonly servers: readonly SoakServer[];

  private queries = 0;

  private disruptedAt = Infinity;

  private isOver = false;

  private constructor(private readonly plan: SoakPlan, private readonly processes: SoakProcesses) {
    const engines = [...plan.engines, ...Array.from({ length: DESKS }, () => undefined)];
    this.servers = engines.map((engine, index) => new SoakServer({
      id: `i-${index}`,
      engine,
      announce: (announcement) => processes.site.announce(announcement),
      recordRun: (run) => this.runs.set(run.id, [...this.runs.get(run.id) ?? [], run]),
      readPlanTime: () => this.planTime,
    }));
  }

  /** Runs the plan of a seed; resolves with each break of a rule. */
  static async perform(seed: number, plan: SoakPlan): Promise<SoakResult> {
    const run = new SoakRun(plan, await SoakProcesses.open(plan));
    try {
      await run.begin();
      await run.performPlan();
    } finally {
      run.servers.forEach((server) => server.close());
      await run.processes.close();
    }
    return run.summarize(join(LOGS_FOLDER, `seed-${seed}-${process.pid}`));
  }

  private get planTime(): number {
    return performance.now() - this.disruptedAt;
  }

  /** Resolves when the site serves. */
  private async begin(): Promise<void> {
    const { site, machines } = this.processes;
    await site.publish(buildDocument(1, 'none'));
    await Promise.all(this.servers.map((server) => server.open()));
    const isReady = async (): Promise<boolean> => (await Promise.all(
      machines.map((machine) => site.isReady(machine).catch(() => false)),
    )).every(Boolean);
    await waitFor(isReady, 'all entries are ready');
  }

  /** Lets callers come and disruptions happen; resolves when all have ended. */
  private async performPlan(): Promise<void> {
    const { plan, processes } = this;
    const regulars = plan.callers.map((planned, index) => this.runCaller(planned, `r${index}`));
    await pause(LEARNING_MS);
    this.disruptedAt = performance.now();
    const guests = plan.bursts.flatMap(({ at, lastsMs, callers }, burst) => callers.map(
      async (planned, index) => {
        await this.waitPlanTime(at);
        await this.runCaller(planned, `b${burst}-${index}`, at + lastsMs);
      },
    ));
    const happened = plan.disruptions.map(async (disruption) => {
      await this.waitPlanTime(disruption.at);
      await this.handlers[disruption.kind](disruption);
    });
    const stopped = plan.stops.flatMap(({ entries, ...stop }) => entries.map(async (entry) => {
      await this.waitPlanTime(stop.at);
      processes.stopEntry(processes.nameEntry(entry));
      await pause(stop.againMs);
      if (stop.isRepeated) processes.repeatStop(processes.nameEntry(entry));
    }));
    await Promise.all([...happened, ...stopped]);
    await processes.waitRestarts();
    this.isOver = true;
    await Promise.all([...regulars, ...guests]);
  }

  private async waitPlanTime(at: number): Promise<void> {
    await pause(Math.max(0, at - this.planTime));
  }

  private runCaller(planned: PlannedCaller, name: string, until = Infinity): Promise<void> {
    return new SoakCaller({
      name,
      planned,
      requests: this.plan.requests,
      queryDirectory: () => this.queryDirectory(),
      nameEntry: (address) => `entry-${address.split(':')[0]?.split('.')[3]}`,
      recordAttempt: (attempt) => this.attempts.push(attempt),
      isOver: () => this.isOver || this.planTime >= until,
    }).run();
  }

  /** Asks one process after another for the addresses of entries; empty if none knows any. */
  private async queryDirectory(tries = DIRECTORY_TRIES): Promise<readonly string[]> {
    const { site, replicas, machines } = this.processes;
    const all = [...replicas, ...machines];
    this.queries += 1;
    // A process that is down answers nothing; the caller asks the next one.
    const machine = all[this.queries % all.length] ?? 1;
    const addresses = await site.queryDirectory(machine).catch(() => []);
    return addresses.length > 0 || tries === 1 ? addresses : this.queryDirectory(tries - 1);
  }

  private readonly handlers: Record<DisruptionKind, (disruption: Disruption) => unknown> = {
    hangUp: ({ entry }) => this.processes.sendHangUp(this.processes.nameEntry(entry)),
    restartControl: ({ replica, signal }) => this.processes.restartControl(replica, signal),
    restartLeader: async ({ signal }) => {
      const leader = await this.processes.site.findLeader();
      if (leader > 0) await this.processes.restartControl(leader, signal);
    },
    document: ({ change }) => {
      this.changes.push({ at: performance.now(), change });
      return this.publish(buildDocument(this.changes.length + 1, change));
    },
    freezeEntry: ({ entry, lastsMs }) => (
      this.processes.freeze(this.processes.nameEntry(entry), lastsMs)),
    freezeControl: ({ replica, lastsMs }) => this.processes.freeze(`control-${replica}`, lastsMs),
  };

  /** Publishes a document at any replica; gives up if a newer one came first or none takes it. */
  private async publish(document: object, tries = PUBLISH_TRIES): Promise<void> {
    // A replica that is down takes nothing; the next one is asked.
    const status = await this.processes.site.post(1 + (tries % REPLICAS), '/v1/Configuration.Replace', document).catch(() => 0);
    if (status === 200 || status === 409 || tries === 0) return;
    await pause(PUBLISH_RETRY_MS);
    await this.publish(document, tries - 1);
  }

  /** Checks what was recorded; writes plan, faults and lines to a folder if a rule was broken. */
  private summarize(logs: string): SoakResult {
    const { stops, oddities, lines } = this.processes;
    const {
      attempts, runs, changes, plan,
    } = this;
    const records: SoakRecords = {
      graceMs: plan.graceSeconds * MS_PER_SECOND, attempts, runs, stops, changes, oddities,
    };
    const faults = listFaults(records);
    if (faults.length > 0) {
      mkdirSync(logs, { recursive: true });
      writeFileSync(join(logs, 'plan.json'), JSON.stringify(plan));
      writeFileSync(join(logs, 'faults.txt'), `${faults.join('\n')}\n`);
      lines.forEach((written, name) => writeFileSync(join(logs, `${name}.log`), `${written.join('\n')}\n`));
    }
    return { faults, totals: countTotals(records), logs };
  }
}
