import type { IncomingMessage, ServerResponse } from 'node:http';
import { BeechliftError } from '../errors/beechliftError';
import type { AdmittedRequest } from './admitRequest';
import { RequestGuard } from './requestGuard';
import type { RequestFacts } from './requestDialect';
import type { RequestParts } from './requestParts';
import { RetryPolicy } from './retryPolicy';

/** An admitted request with its body, and the checks and the policy that apply to it. */
export interface PreparedRequest {
  readonly admitted: AdmittedRequest;
  readonly body: Buffer;
  readonly guard: RequestGuard;
  readonly retryPolicy: RetryPolicy;
}

/** Largest body until a routing document is in force, in bytes. */
const DEFAULT_BODY_BYTES = 4_194_304;

/**
 * Begins to read the body of a request that is not admitted yet.
 *
 * @example
 * const received = beginBody(parts, request, response);
 */
export const beginBody = (
  parts: Pick<RequestParts, 'bodies' | 'site'>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Buffer> => {
  const maxBytes = parts.site.table?.routing.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
  const received = parts.bodies.read(request, response, maxBytes);
  // The request may be refused for another reason before anything waits for its body.
  received.catch(() => undefined);
  return received;
};

/** A request, and its body while it arrives. */
interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly received: Promise<Buffer>;
}

/**
 * Waits for the body of an admitted request, and makes what decides over its sends. Rejects if the
 * body exceeds the limit of the routing document or is incomplete.
 *
 * @param target path and query as received
 * @example
 * const received = beginBody(parts, request, response);
 * const exchange = { request, received };
 * const prepared = await prepareRequest(parts, exchange, '/orders/7', admitted, facts);
 */
export const prepareRequest = async (
  parts: RequestParts,
  { request, received }: ReceivedRequest,
  target: string,
  admitted: AdmittedRequest,
  { promptParts }: Pick<RequestFacts, 'promptParts'>,
): Promise<PreparedRequest> => {
  const { method = 'GET', headers: { host = '' } } = request;
  const limits = parts.site.table?.routing.limits;
  const body = await received;
  const maxBytes = limits?.bodyBytes ?? 0;
  if (body.length > maxBytes) throw new BeechliftError('bodyTooLarge', `the body has ${body.length} bytes, at most ${maxBytes} are allowed`);
  const guard = new RequestGuard(parts, {
    method, host, target, account: admitted.account?.name ?? '', body,
  }, { service: admitted.service, promptParts });
  const retryPolicy = new RetryPolicy(parts, admitted, guard);
  return {
    admitted, body, guard, retryPolicy,
  };
};
