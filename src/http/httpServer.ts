import type { Socket } from 'node:net';
import Fastify from 'fastify';
import type {
  FastifyError, FastifyInstance, FastifyReply, FastifyRequest,
} from 'fastify';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import type { ResultCode } from '../errors/resultCodes';
import { NO_SCHEMAS } from '../utils/noSchemas';
import { addGracefulClose } from './addGracefulClose';

const MAX_BODY_BYTES = 67_108_864;
const MAX_HEADER_BYTES = 32_768;
const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_MS = 72_000;

const frameworkCodes: Readonly<Record<string, ResultCode>> = {
  FST_ERR_CTP_BODY_TOO_LARGE: 'bodyTooLarge',
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

/**
 * Makes an HTTP server whose error responses all have a result code.
 *
 * @example
 * const app = makeHttpServer();
 */
export const makeHttpServer = (): FastifyInstance => {
  const app = Fastify({
    ...NO_SCHEMAS,
    bodyLimit: MAX_BODY_BYTES,
    keepAliveTimeout: KEEP_ALIVE_MS,
    http: { maxHeaderSize: MAX_HEADER_BYTES },
    forceCloseConnections: 'idle',
    clientErrorHandler: handleClientError,
  });
  addGracefulClose(app);
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (request, body, done) => {
    done(null, body);
  });
  app.setErrorHandler((error: Error, request, reply) => sendError(reply, toCodedError(error)));
  app.setNotFoundHandler((request, reply) => sendError(reply, new BeechliftError('unknownPath', `${request.method} ${request.url.slice(0, 200)}`)));
  return app;
};

/** Returns the body of a request; empty if it has none. */
export const readBody = (request: FastifyRequest): Buffer => (
  Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
);
