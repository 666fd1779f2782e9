import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/**
 * Registers a gauge whose value is read at each scrape.
 *
 * @example
 * addGauge(registry, 'beechlift_control_term', 'Term of the log', () => state.term);
 */
export const addGauge = (
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void => {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: (): void => {
      gauge.set(read());
    },
  });
};
