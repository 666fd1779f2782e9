import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { addGauge } from '../telemetry/addGauge';
import { countDroppedLines } from '../telemetry/logger';

/** Upper bounds of the buckets in seconds, up to the longest time that callers wait. */
const LATENCY_BUCKETS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20];

/**
 * Metrics of an entry of a routed site.
 *
 * @example
 * metrics.attempts.inc({ outcome: 'answered' });
 */
export class RelayMetrics {
  readonly registry = new Registry();

  readonly attempts = new Counter({
    name: 'beechlift_attempts_total', help: 'Attempts at backend servers, by outcome', labelNames: ['outcome'], registers: [this.registry],
  });

  readonly refusals = new Counter({
    name: 'beechlift_refusals_total', help: 'Requests that the entry answered with an error, by result code', labelNames: ['code'], registers: [this.registry],
  });

  readonly abortedAnswers = new Counter({
    name: 'beechlift_aborted_answers_total', help: 'Answers that the entry cut off after their head was sent, by result code', labelNames: ['code'], registers: [this.registry],
  });

  readonly closeDelimitedAnswers = new Counter({
    name: 'beechlift_close_delimited_answers_total', help: 'Answers whose end only the end of the connection to the backend server marked, by outcome of their attempt', labelNames: ['outcome'], registers: [this.registry],
  });

  readonly repeats = new Counter({
    name: 'beechlift_repeats_total', help: 'Retries at another backend server, by outcome of the previous attempt', labelNames: ['reason'], registers: [this.registry],
  });

  readonly notices = new Counter({
    name: 'beechlift_server_notices_total', help: 'State changes that backend servers reported in answers', labelNames: ['notice'], registers: [this.registry],
  });

  readonly continuedStreams = new Counter({
    name: 'beechlift_continued_streams_total', help: 'Streams that a server continued after their begin elsewhere, by who asked for it', labelNames: ['by'], registers: [this.registry],
  });

  /** Time to the first event of a stream, or to the complete answer otherwise. */
  readonly latency = new Histogram({
    name: 'beechlift_answer_seconds', help: 'Time from a request to its complete answer, or to the first event of a stream', labelNames: ['kind'], buckets: LATENCY_BUCKETS, registers: [this.registry],
  });

  readonly open = new Gauge({
    name: 'beechlift_open_requests', help: 'Requests whose answers are not complete', registers: [this.registry],
  });

  constructor() {
    addGauge(this.registry, 'beechlift_dropped_log_lines', 'Log lines dropped since the start because the reader was too slow', countDroppedLines);
  }
}
