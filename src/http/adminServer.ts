import type { FastifyInstance, FastifyRequest } from 'fastify';
import { collectDefaultMetrics, Registry } from 'prom-client';
import type { RunningControl } from '../control/controlProcess';
import { toBeechliftError } from '../errors/beechliftError';
import { decodeText } from '../errors/decodeText';
import { addGauge } from '../telemetry/addGauge';
import { makeHttpServer, readBody } from './httpServer';

const BEARER = /^Bearer\s+(\S.*)$/i;
const SUBMIT_TIMEOUT_MS = 4_000;

const readOperatorKey = ({ headers }: FastifyRequest): string => (
  BEARER.exec(headers.authorization ?? '')?.[1] ?? ''
);

const makeRegistry = ({ node, holder }: RunningControl): Registry => {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  addGauge(registry, 'beechlift_control_leads', '1 while this replica holds the leader lease', () => Number(node.runner.holdsLease));
  addGauge(registry, 'beechlift_control_term', 'Term of the log', () => node.runner.state.term);
  addGauge(registry, 'beechlift_control_commit_index', 'Last committed index', () => node.runner.state.commitIndex);
  addGauge(registry, 'beechlift_configuration_version', 'Manifest version accepted', () => node.site.manifest?.version ?? 0);
  addGauge(registry, 'beechlift_claims', 'Claims held', () => holder.table.claims.size);
  return registry;
};

/**
 * Makes the HTTP server of one control replica for operators: status, manifests and metrics.
 *
 * @example
 * const app = makeAdminServer(control);
 */
export const makeAdminServer = (control: RunningControl): FastifyInstance => {
  const app = makeHttpServer();
  const registry = makeRegistry(control);
  app.get('/v1/status', async (request) => control.node.readStatus(readOperatorKey(request)));
  app.put('/v1/manifest', async (request, reply) => {
    const result = await control.node.submit({
      manifest: decodeText(readBody(request)),
      operatorKey: readOperatorKey(request),
      deadlineMs: SUBMIT_TIMEOUT_MS,
      forwarded: false,
    }).catch((error: unknown) => {
      throw toBeechliftError(error);
    });
    reply.code(result.code === 0 ? 200 : 409);
    return result;
  });
  app.get('/metrics', async (request, reply) => {
    reply.type('text/plain');
    return registry.metrics();
  });
  return app;
};
