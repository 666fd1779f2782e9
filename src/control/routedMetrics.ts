import { Gauge, Registry } from 'prom-client';
import { addGauge } from '../telemetry/addGauge';
import { countDroppedLines } from '../telemetry/logger';
import type { RoutedNode } from './routedNode';
import { WORK_KINDS } from './workMeter';

const MS_PER_SECOND = 1_000;

/**
 * Metrics of a control replica of a routed site; values are read when the metrics are requested.
 *
 * @example
 * const text = await new RoutedMetrics(node).registry.metrics();
 */
export class RoutedMetrics {
  readonly registry = new Registry();

  constructor(node: RoutedNode) {
    const { registry } = this;
    addGauge(registry, 'beechlift_control_leads', '1 while this replica holds the leader lease', () => Number(node.isLeading));
    addGauge(registry, 'beechlift_control_term', 'Term of the log', () => node.runner.state.term);
    addGauge(registry, 'beechlift_control_commit_index', 'Last committed index', () => node.runner.state.commitIndex);
    addGauge(registry, 'beechlift_document_version', 'Version of the current routing document, rounded above 2^53', () => Number(node.site.version));
    addGauge(registry, 'beechlift_entries', 'Entries that accept callers', () => node.listEntries().length);
    addGauge(registry, 'beechlift_requests_waiting', 'Requests that wait for a slot; 0 on a follower', () => node.countRequests().waiting);
    addGauge(registry, 'beechlift_requests_placed', 'Requests that hold a slot; 0 on a follower', () => node.countRequests().placed);
    addGauge(registry, 'beechlift_dropped_log_lines', 'Log lines dropped since the start', countDroppedLines);
    this.addWorkers(node);
    this.addSuspects(node);
    this.addRefusals(node);
    this.addWork(node);
  }

  private addWork({ work }: RoutedNode): void {
    const gauge: Gauge<'work'> = new Gauge({
      name: 'beechlift_control_work_seconds',
      help: 'Time spent on each kind of work since the start',
      labelNames: ['work'],
      registers: [this.registry],
      collect: (): void => {
        const counts = work.read();
        WORK_KINDS.forEach((kind) => gauge.set({ work: kind }, counts[kind].ms / MS_PER_SECOND));
      },
    });
  }

  private addSuspects({ suspects }: RoutedNode): void {
    const gauge: Gauge<'stage'> = new Gauge({
      name: 'beechlift_suspect_requests',
      help: 'Requests suspected of crashing backend servers',
      labelNames: ['stage'],
      registers: [this.registry],
      collect: (): void => {
        const all = suspects.listSuspects();
        const refused = all.filter(({ refusedMs }) => refusedMs > 0).length;
        gauge.set({ stage: 'refused' }, refused);
        gauge.set({ stage: 'watched' }, all.length - refused);
      },
    });
  }

  private addRefusals({ announcementValidator: validator }: RoutedNode): void {
    const gauge: Gauge<'code'> = new Gauge({
      name: 'beechlift_announcements_refused',
      help: 'Refused announcements of backend servers since the start',
      labelNames: ['code'],
      registers: [this.registry],
      collect: (): void => {
        validator.refusalCounts.forEach((count, code) => gauge.set({ code }, count));
      },
    });
  }

  private addWorkers(node: RoutedNode): void {
    const gauge: Gauge<'standing'> = new Gauge({
      name: 'beechlift_backend_servers',
      help: 'Known backend servers',
      labelNames: ['standing'],
      registers: [this.registry],
      collect: (): void => {
        gauge.reset();
        node.countWorkers().forEach((count, standing) => gauge.set({ standing }, count));
      },
    });
  }
}
