import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { NO_SCHEMAS } from '../utils/noSchemas';
import type { CallerLimits } from '../manifest/routing';
import { CallerConnections } from './callerConnections';
import { endAfterBody } from './endAfterBody';
import { RoutedRequest } from './routedRequest';
import type { RequestParts } from './requestParts';

/** Largest request head that is read, unless the routing document sets a higher limit. */
const DEFAULT_HEAD_BYTES = 65_536;
/** Limits until a routing document is in force. */
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEAD_TIMEOUT_MS = 3_000;
/** Interval of the check for request heads that take too long. */
const HEAD_CHECK_INTERVAL_MS = 1_000;
/** Longest idle time: a timer must accept it with the second that Node.js adds. */
const MAX_IDLE_MS = 2_147_000_000;
const BAD_REQUEST = 400;
const HEAD_TOO_LARGE = 431;
const HOST = 'host';

const measureHead = (request: IncomingMessage): number => (
  request.rawHeaders.reduce((sum, text) => sum + text.length + 2, request.url?.length ?? 0)
);

/*
 * A request with several Host headers must be answered with 400 (RFC 9112, section 3.2). It cannot
 * be forwarded, so each backend server would be treated as unreachable.
 */
const hasManyHosts = ({ rawHeaders }: IncomingMessage): boolean => (
  rawHeaders.filter((text, index) => (
    index % 2 === 0 && text.length === HOST.length && text.toLowerCase() === HOST)).length > 1
);

/** A server whose limit on heads applies to each connection that is opened from then on. */
type LimitedServer = FastifyInstance['server'] & { maxHeaderSize?: number };

const readMaxHeadBytes = ({ maxHeaderSize }: LimitedServer): number => (
  maxHeaderSize ?? DEFAULT_HEAD_BYTES
);

const checkHead = (request: IncomingMessage, maxBytes: number): number | undefined => {
  if (measureHead(request) > maxBytes) return HEAD_TOO_LARGE;
  return hasManyHosts(request) ? BAD_REQUEST : undefined;
};

/**
 * Makes the server that callers connect to. Every request, whatever its method and path, is routed
 * before its body is read.
 *
 * @example
 * const app = makeRelayServer(parts);
 * await app.listen({ host, port });
 */
export const makeRelayServer = (parts: RequestParts): FastifyInstance => {
  const targets = new WeakMap<IncomingMessage, string>();
  const callerConnections = new CallerConnections();
  const app: FastifyInstance = Fastify({
    ...NO_SCHEMAS,
    keepAliveTimeout: DEFAULT_IDLE_MS,
    connectionTimeout: 0,
    requestTimeout: 0,
    http: {
      maxHeaderSize: DEFAULT_HEAD_BYTES,
      headersTimeout: DEFAULT_HEAD_TIMEOUT_MS,
      connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    },
    clientErrorHandler: (error, socket) => (
      callerConnections.handleError(error, socket, readMaxHeadBytes(app.server))),
    forceCloseConnections: 'idle',
    // Requests on connections that stay open after the port closes are answered as usual.
    return503OnClosing: false,
    // The framework routes one path only, so the received target is stored separately.
    rewriteUrl: (request) => {
      targets.set(request, request.url ?? '/');
      return '/';
    },
  });
  app.server.on('connection', (socket: Socket) => (
    callerConnections.registerConnection(socket, readMaxHeadBytes(app.server))));
  app.server.on('request', ({ socket }, response) => (
    callerConnections.registerRequest(socket, response, app.server.keepAliveTimeout)));
  app.server.on('timeout', (socket) => callerConnections.closeIdle(socket));
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', (request, payload, done) => done(null, payload));
  app.addHook('onRequest', async (request, reply) => {
    reply.hijack();
    const { raw } = request;
    if (!callerConnections.tryBegin(raw.socket, reply.raw)) return;
    const target = targets.get(raw) ?? '/';
    const isNewest = (): boolean => callerConnections.isNewest(raw.socket, reply.raw);
    // Made before the wait, which counts towards the time limit of the request.
    const routed = new RoutedRequest(parts, raw, reply.raw, target, isNewest);
    await callerConnections.waitTurn(raw.socket, reply.raw);
    // The connection was ended before the request arrived: no answer can be written.
    if (!raw.socket.writable) {
      raw.resume();
      reply.raw.destroy();
      return;
    }
    const maxHeadBytes = parts.site.table?.routing.limits.headerBytes ?? DEFAULT_HEAD_BYTES;
    const status = checkHead(raw, maxHeadBytes);
    if (status !== undefined) {
      reply.raw.writeHead(status, { connection: 'close', 'content-length': 0 }).flushHeaders();
      endAfterBody(raw, reply.raw);
      return;
    }
    await parts.openRequests.serve(routed, { request: raw, response: reply.raw });
  });
  app.all('/', async () => undefined);
  return app;
};

/**
 * Applies the limits of a routing document to the connections of callers.
 *
 * Callers may reuse a connection that was idle for almost the whole limit. An idle connection is
 * therefore closed shortly after the limit, never before it. Node.js would throw for a limit that a
 * timer does not accept, at the end of the next answer, where nothing could catch it.
 */
export const applyCallerLimits = (app: FastifyInstance, limits: CallerLimits): void => {
  app.server.keepAliveTimeout = Math.min(MAX_IDLE_MS, Math.max(0, limits.idleTimeoutMs));
  app.server.headersTimeout = limits.headerTimeoutMs;
  const server: LimitedServer = app.server;
  server.maxHeaderSize = Math.max(DEFAULT_HEAD_BYTES, limits.headerBytes);
};
