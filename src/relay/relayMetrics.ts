import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { addGauge } from '../telemetry/addGauge';
import { countDroppedLines } from '../telemetry/logger';

/** Upper bounds in seconds: from a quick plain answer to the longest time that callers wait. */
const LATENCY_BUCKETS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20];

/**
 * What an entry of a routed site counts.
 *
 * @example
 * metrics.attempts.inc({ outcome: 'answered' });
 */
export class RelayMetrics {
  readonly registry = new Registry();

  readonly attempts = new Counter({
    name: 'beechlift_attempts_total', help: 'Requests offered to backend servers, by what came of it', labelNames: ['outcome'], registers: [this.registry],
  });

  readonly refusals = new Counter({
    name: 'beechlift_refusals_total', help: 'Answers of our own, by result code', labelNames: ['code'], registers: [this.registry],
  });

  readonly repeats = new Counter({
    name: 'beechlift_repeats_total', help: 'Requests offered to another backend server, by what went before', labelNames: ['reason'], registers: [this.registry],
  });

  readonly notices = new Counter({
    name: 'beechlift_server_notices_total', help: 'What backend servers said of themselves in answers', labelNames: ['notice'], registers: [this.registry],
  });

  /** To the first byte of the body for a stream, to the whole answer otherwise. */
  readonly latency = new Histogram({
    name: 'beechlift_answer_seconds', help: 'Time from a request to its answer, for a stream to its first event', labelNames: ['kind'], buckets: LATENCY_BUCKETS, registers: [this.registry],
  });

  readonly open = new Gauge({
    name: 'beechlift_open_requests', help: 'Requests that wait for their answer', registers: [this.registry],
  });

  constructor() {
    addGauge(this.registry, 'beechlift_dropped_log_lines', 'Log lines that were dropped since the start, as their reader was too slow', countDroppedLines);
  }
}
