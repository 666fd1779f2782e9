import { Counter, Gauge, Registry } from 'prom-client';

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

  readonly open = new Gauge({
    name: 'beechlift_open_requests', help: 'Requests that wait for their answer', registers: [this.registry],
  });
}
