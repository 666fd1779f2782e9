import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { toBeechliftError } from '../errors/beechliftError';
import { COMPLETION_PATHS } from '../entry/callers/callerRequest';
import type { CallerApi } from '../entry/callers/callerApi';
import { HttpSink } from './httpSink';
import { makeHttpServer, readBody } from './httpServer';

const handleCompletion = async (
  api: CallerApi,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<void> => {
  const path = request.routeOptions.url ?? '';
  const completion = api.readCompletion(path, readBody(request), request.headers);
  const sink = new HttpSink(reply, completion.request.stream, path);
  try {
    await api.runCompletion(completion, sink, sink.connection);
  } catch (thrown) {
    sink.fail(toBeechliftError(thrown));
  }
};

const handleService = async (
  api: CallerApi,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<void> => {
  const { name } = request.params as { name: string };
  const prefix = `/services/${encodeURIComponent(name)}`;
  const answer = await api.callService({
    name,
    method: request.method,
    path: request.url.startsWith(prefix) ? request.url.slice(prefix.length) || '/' : request.url,
    headers: request.headers,
    body: readBody(request),
    isDisconnected: () => reply.raw.destroyed,
  });
  reply.code(answer.status).headers({ ...answer.headers }).send(answer.body);
};

/**
 * Makes the HTTP server of one entry VM for callers and backend servers.
 *
 * @example
 * const app = makeCallerServer(api);
 * await app.listen({ host, port });
 */
export const makeCallerServer = (api: CallerApi): FastifyInstance => {
  const app = makeHttpServer();
  COMPLETION_PATHS.forEach((path) => {
    app.post(path, (request, reply) => handleCompletion(api, request, reply));
  });
  app.route({
    method: ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'],
    url: '/services/:name/*',
    handler: (request, reply) => handleService(api, request, reply),
  });
  app.get('/v1/entries', async (request) => api.locate(request.headers));
  app.post('/v1/announce', async (request) => api.announce(readBody(request)));
  app.get('/v1/status', async () => api.readStatus());
  app.get('/metrics', async (request, reply) => {
    reply.type('text/plain');
    return api.formatMetrics();
  });
  return app;
};
