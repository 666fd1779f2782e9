import { monitorEventLoopDelay } from 'node:perf_hooks';
import {
  collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const FIRST_TOKEN_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.75, 1.5, 3, 6, 15];
const NANOSECONDS_PER_SECOND = 1e9;
const DELAY_RESOLUTION_MS = 10;

/**
 * Metrics of an entry process.
 *
 * @example
 * metrics.goodput.inc({ tier: 'door' });
 */
export class Metrics {
  readonly registry = new Registry();

  readonly requests = this.makeCounter('beechlift_requests_total', 'Requests by tier and result code; code 0 is a complete answer', ['tier', 'code']);

  readonly goodput = this.makeCounter('beechlift_goodput_total', 'Complete answers within the limits of their tier', ['tier']);

  readonly wastedPrefill = this.makeCounter('beechlift_wasted_prefill_tokens_total', 'Prompt tokens dispatched for answers that were dropped, repeated or moved', ['reason']);

  readonly resumes = this.makeCounter('beechlift_stream_resumes_total', 'Streams resumed over a new connection', []);

  readonly retries = this.makeCounter('beechlift_retries_total', 'Retries after a dispatch that was not executed', []);

  readonly orders = this.makeCounter('beechlift_orders_total', 'Orders sent to backend servers, by result', ['result']);

  readonly firstToken = new Histogram({
    name: 'beechlift_first_token_seconds', help: 'Time to the first token by tier', labelNames: ['tier'], buckets: FIRST_TOKEN_BUCKETS, registers: [this.registry],
  });

  readonly queued = this.makeGauge('beechlift_queued_requests', 'Requests waiting in pools that this entry owns', ['pool', 'rank']);

  readonly workers = this.makeGauge('beechlift_workers', 'Backend servers of owned pools by state', ['pool', 'state']);

  readonly version = this.makeGauge('beechlift_configuration_version', 'Manifest version in force at this entry', []);

  readonly lease = this.makeGauge('beechlift_configuration_lease_seconds', 'Remaining time of the configuration lease', []);

  readonly openStreams = this.makeGauge('beechlift_open_streams', 'Answers that are being relayed to callers', []);

  readonly loopDelay = this.makeGauge('beechlift_event_loop_delay_p99_seconds', '99th percentile of the event loop delay since the last scrape', []);

  private readonly delay = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });

  constructor() {
    collectDefaultMetrics({ register: this.registry });
    this.delay.enable();
  }

  /** Formats all metrics for a scrape. */
  async format(): Promise<string> {
    this.loopDelay.set(this.delay.percentile(99) / NANOSECONDS_PER_SECOND);
    this.delay.reset();
    return this.registry.metrics();
  }

  private makeCounter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name, help, labelNames, registers: [this.registry],
    });
  }

  private makeGauge(name: string, help: string, labelNames: string[]): Gauge {
    return new Gauge({
      name, help, labelNames, registers: [this.registry],
    });
  }
}
