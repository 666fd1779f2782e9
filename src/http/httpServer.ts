import { ServerResponse } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import Fastify from 'fastify';
import type {
  FastifyError, FastifyInstance, FastifyReply, FastifyRequest,
} from 'fastify';
import { BodyReader } from '../bodies/bodyReader';
import { applyConnectionLimit } from '../bodies/applyConnectionLimit';
import { discardBody } from '../bodies/readTurns';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import type { ResultCode } from '../errors/resultCodes';
import { NO_SCHEMAS } from '../utils/noSchemas';
import { addGracefulClose } from './addGracefulClose';

const MAX_BODY_BYTES = 67_108_864;
/** Most bytes that the bodies of all requests to one server hold together, unless it is named. */
const MAX_HELD_BYTES = 4 * MAX_BODY_BYTES;
const BODILESS_METHODS: readonly string[] = ['GET', 'HEAD'];
const MAX_HEADER_BYTES = 32_768;
const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_MS = 72_000;

const frameworkCodes: Readonly<Record<string, ResultCode>> = {
  FST_ERR_CTP_INVALID_JSON_BODY: 'malformedJson',
  FST_ERR_CTP_EMPTY_JSON_BODY: 'malformedJson',
  FST_ERR_CTP_INVALID_CONTENT_LENGTH: 'invalidRequest',
  FST_ERR_CTP_INVALID_MEDIA_TYPE: 'invalidRequest',
  FST_ERR_BAD_URL: 'unknownPath',
};

const toCodedError = (error: Error): BeechliftError => {
  if (error instanceof BeechliftError) return error;
  const { code, statusCode } = error as FastifyError;
  const resultCode = frameworkCodes[code];
  if (resultCode) return new BeechliftError(resultCode, error.message);
  const isClientError = statusCode !== undefined && statusCode < 500;
  return isClientError
    ? new BeechliftError('invalidRequest', error.message)
    : toBeechliftError(error);
};

/**
 * Sends an error in the format described in docs/CALLERS.md.
 *
 * @example
 * sendError(reply, new BeechliftError('unknownPath', 'GET /x'));
 */
export const sendError = (reply: FastifyReply, error: BeechliftError): FastifyReply => {
  const { retryAfterMs } = error.detail;
  if (retryAfterMs !== undefined) {
    reply.header('retry-after', Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
  return reply.code(error.status).send(error.buildBody());
};

/** Answers input that cannot be parsed as an HTTP request. */
const handleClientError = (error: Error & { code?: string }, socket: Socket): void => {
  const isHeaderOverflow = error.code === 'HPE_HEADER_OVERFLOW';
  const codedError = isHeaderOverflow
    ? new BeechliftError('headersTooLarge', `headers exceed the limit of ${MAX_HEADER_BYTES} bytes`)
    : new BeechliftError('invalidRequest', `cannot parse the HTTP request: ${error.message}`);
  const body = JSON.stringify(codedError.buildBody());
  if (!socket.writable) return;
  socket.end(`HTTP/1.1 ${codedError.status} Refused\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
};

/** What callers of a server may use. */
export interface HttpServerLimits {
  /** Reads the bodies, within its budget for all of them. */
  readonly bodies: BodyReader;
  /** Largest body of a request, in bytes; 0 if no request has one. */
  readonly maxBodyBytes: number;
  /** Most open connections; if it is missing, they are not limited. */
  readonly maxConnections: number;
}

const hasBody = ({ headers }: IncomingMessage): boolean => (
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0);

/** Reads bodies within the limits. */
const addBodyParser = (
  app: FastifyInstance,
  { bodies, maxBodyBytes }: Pick<HttpServerLimits, 'bodies' | 'maxBodyBytes'>,
): void => {
  const responses = new WeakMap<IncomingMessage, ServerResponse>();
  app.addHook('onRequest', async ({ raw }, reply) => {
    responses.set(raw, reply.raw);
    if (!hasBody(raw)) return;
    if (maxBodyBytes === 0) throw new BeechliftError('bodyTooLarge', 'requests to this server have no body');
    if (BODILESS_METHODS.includes(raw.method ?? '')) discardBody(raw);
  });
  app.removeAllContentTypeParsers();
  // The hook has stored the response of each request.
  app.addContentTypeParser('*', async ({ raw }: FastifyRequest) => (
    bodies.read(raw, responses.get(raw) ?? new ServerResponse(raw), maxBodyBytes)));
};

/**
 * Makes an HTTP server whose error responses all have a result code.
 *
 * @example
 * const app = makeHttpServer();
 */
export const makeHttpServer = ({
  bodies = new BodyReader(MAX_HELD_BYTES),
  maxBodyBytes = MAX_BODY_BYTES,
  maxConnections,
}: Partial<HttpServerLimits> = {}): FastifyInstance => {
  const app = Fastify({
    ...NO_SCHEMAS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    http: { maxHeaderSize: MAX_HEADER_BYTES },
    forceCloseConnections: 'idle',
    clientErrorHandler: handleClientError,
  });
  addGracefulClose(app);
  if (maxConnections !== undefined) applyConnectionLimit(app.server, maxConnections);
  addBodyParser(app, { bodies, maxBodyBytes });
  app.setErrorHandler((error: Error, { raw }, reply) => {
    if (!raw.complete) {
      reply.header('connection', 'close');
      discardBody(raw);
    }
    return sendError(reply, toCodedError(error));
  });
  app.setNotFoundHandler((request, reply) => sendError(reply, new BeechliftError('unknownPath', `${request.method} ${request.url.slice(0, 200)}`)));
  return app;
};

/** Returns the body of a request; empty if it has none. */
export const readBody = (request: FastifyRequest): Buffer => (
  Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
);
