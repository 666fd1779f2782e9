import { createHash } from 'node:crypto';
import { PREFIX_TOKENS } from '../../core/schedule/chooseWorker';
import type { ClientAccount, Manifest, Service } from '../../manifest/manifest';
import { BeechliftError } from '../../errors/beechliftError';

/** Headers that callers may send in addition to the standard ones. */
export const CALLER_HEADERS = {
  idempotencyKey: 'idempotency-key',
  tier: 'beechlift-tier',
  deadline: 'beechlift-deadline-ms',
  nonIdempotent: 'beechlift-non-idempotent',
  zone: 'beechlift-zone',
} as const;

/** A validated request that may be scheduled. */
export interface CallerRequest {
  readonly id: string;
  readonly account: string;
  readonly tier: string;
  readonly pool: string;
  /** Name of the model or service. */
  readonly target: string;
  readonly path: string;
  readonly body: string;
  readonly bodyHash: string;
  readonly stream: boolean;
  readonly promptTokens: number;
  /** Most output tokens; 0 if the caller sets no limit. */
  readonly maxTokens: number;
  /** Hashes of prefixes of the prompt, shortest first. */
  readonly prefixes: readonly string[];
  /** Time limit for the whole answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Empty if the caller sent none. */
  readonly idempotencyKey: string;
  readonly isIdempotent: boolean;
}

/** A client account with its name. */
export interface KnownAccount {
  readonly name: string;
  readonly account: ClientAccount;
}

/** Request headers as the HTTP server provides them. */
export type CallerHeaders = Readonly<Record<string, string | string[] | undefined>>;

interface CompletionBody {
  readonly model?: unknown;
  readonly stream?: unknown;
  readonly max_tokens?: unknown;
  readonly messages?: unknown;
  readonly prompt?: unknown;
}

const CHARACTERS_PER_TOKEN = 4;
const MAX_KEY_LENGTH = 255;
const DEADLINE_PATTERN = /^\d{1,8}$/;

const readHeader = (headers: CallerHeaders, name: string): string => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] ?? '' : value ?? '';
};

/** Estimates the number of tokens of a text. */
export const estimateTokens = (text: string): number => Math.ceil(
  text.length / CHARACTERS_PER_TOKEN,
);

const hashText = (text: string): string => createHash('sha1').update(text).digest('base64url');

const hashPrefixes = (target: string, prompt: string): string[] => PREFIX_TOKENS
  .map((tokens) => tokens * CHARACTERS_PER_TOKEN)
  .filter((length) => prompt.length >= length)
  .map((length) => hashText(`${target}\n${prompt.slice(0, length)}`));

const readMessages = (messages: unknown): string => {
  if (!Array.isArray(messages) || messages.length === 0) {
    throw new BeechliftError('invalidRequest', `/messages: expected a list with at least one message, got ${JSON.stringify(messages)?.slice(0, 60) ?? 'nothing'}`);
  }
  return messages
    .map((message: { role?: unknown; content?: unknown } | null) => `${String(message?.role)}\n${typeof message?.content === 'string' ? message.content : JSON.stringify(message?.content) ?? ''}`)
    .join('\n');
};

const readPrompt = (prompt: unknown): string => {
  if (typeof prompt !== 'string') {
    throw new BeechliftError('invalidRequest', `/prompt: expected a text, got ${JSON.stringify(prompt)?.slice(0, 60) ?? 'nothing'}`);
  }
  return prompt;
};

const promptReaders: Readonly<Record<string, (body: CompletionBody) => string>> = {
  '/v1/chat/completions': ({ messages }) => readMessages(messages),
  '/v1/completions': ({ prompt }) => readPrompt(prompt),
};

/** Paths of completion requests. */
export const COMPLETION_PATHS: readonly string[] = Object.keys(promptReaders);

const parseBody = (text: string): CompletionBody => {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch (cause) {
    throw new BeechliftError('malformedJson', `the body is not valid JSON: ${(cause as Error).message}`);
  }
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    throw new BeechliftError('invalidRequest', '/: expected a JSON object');
  }
  return body;
};

/**
 * Selects the tier: the requested one, or the account's first tier when none is requested.
 *
 * @example
 * const tier = pickTier(known, request.headers);
 */
export const pickTier = (known: KnownAccount, headers: CallerHeaders): string => {
  const requestedTier = readHeader(headers, CALLER_HEADERS.tier);
  const { tiers } = known.account;
  if (requestedTier === '') return tiers[0] ?? '';
  if (tiers.includes(requestedTier)) return requestedTier;
  throw new BeechliftError('tierNotGranted', `account "${known.name}" holds ${tiers.map((tier) => `"${tier}"`).join(', ')}, not "${requestedTier.slice(0, 64)}"`);
};

const readDeadline = (headers: CallerHeaders, maxMs: number): number => {
  const text = readHeader(headers, CALLER_HEADERS.deadline);
  if (text === '') return maxMs;
  if (!DEADLINE_PATTERN.test(text) || Number(text) === 0) {
    throw new BeechliftError('invalidRequest', `${CALLER_HEADERS.deadline}: expected milliseconds from 1 to 99999999, got "${text.slice(0, 60)}"`);
  }
  return Math.min(maxMs, Number(text));
};

type RequestIdentity = Pick<CallerRequest, 'idempotencyKey' | 'isIdempotent'>;

const readIdentity = (headers: CallerHeaders, isRepeatable: boolean): RequestIdentity => {
  const idempotencyKey = readHeader(headers, CALLER_HEADERS.idempotencyKey);
  const isMarkedNonIdempotent = readHeader(headers, CALLER_HEADERS.nonIdempotent).toLowerCase() === 'true';
  const isIdempotent = isRepeatable && !isMarkedNonIdempotent;
  if (idempotencyKey.length > MAX_KEY_LENGTH) {
    throw new BeechliftError('invalidRequest', `Idempotency-Key: expected at most ${MAX_KEY_LENGTH} characters, got ${idempotencyKey.length}`);
  }
  if (!isIdempotent && idempotencyKey === '') {
    throw new BeechliftError('keyRequired', 'this request is not idempotent, so it requires an Idempotency-Key');
  }
  return { idempotencyKey, isIdempotent };
};

const findPool = (
  manifest: Manifest,
  kind: 'models' | 'services',
  target: string,
): string | undefined => (
  Object.entries(manifest.pools)
    .find(([, pool]) => pool.role === 'worker' && pool[kind].includes(target))?.[0]
);

const readMaxTokens = (value: unknown): number => {
  if (value === undefined || value === null) return 0;
  if (Number.isInteger(value) && Number(value) > 0) return Number(value);
  throw new BeechliftError('invalidRequest', `/max_tokens: expected a whole number above 0, got ${JSON.stringify(value).slice(0, 60)}`);
};

/** A completion request before validation, with its account and the manifest in force. */
export interface CompletionInput {
  readonly id: string;
  readonly path: string;
  readonly text: string;
  readonly headers: CallerHeaders;
  readonly known: KnownAccount;
  readonly manifest: Manifest;
}

/**
 * Validates a completion request and derives the fields that the scheduler needs.
 *
 * @example
 * const request = readCompletionRequest({ id, path, text, headers, known, manifest });
 */
export const readCompletionRequest = (input: CompletionInput): CallerRequest => {
  const {
    id, path, text, headers, known, manifest,
  } = input;
  const body = parseBody(text);
  const tier = pickTier(known, headers);
  const target = typeof body.model === 'string' ? body.model : '';
  const pool = findPool(manifest, 'models', target);
  if (pool === undefined) throw new BeechliftError('unknownModel', `no pool serves model "${target.slice(0, 128)}" in manifest version ${manifest.version}`);
  const prompt = promptReaders[path]?.(body) ?? '';
  const promptTokens = estimateTokens(prompt);
  const { contextTokens } = manifest.models[target] ?? { contextTokens: 0 };
  if (promptTokens > contextTokens) {
    throw new BeechliftError('bodyTooLarge', `the prompt has about ${promptTokens} tokens, model "${target}" accepts at most ${contextTokens}`);
  }
  return {
    id,
    account: known.name,
    tier,
    pool,
    target,
    path,
    body: text,
    bodyHash: hashText(`${path}\n${text}`),
    stream: body.stream === true,
    promptTokens,
    maxTokens: readMaxTokens(body.max_tokens),
    prefixes: hashPrefixes(target, prompt),
    deadlineMs: readDeadline(headers, manifest.tiers[tier]?.totalMs ?? 0),
    ...readIdentity(headers, true),
  };
};

/** A service call before validation, with its account and the manifest in force. */
export interface ServiceInput {
  readonly id: string;
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly headers: CallerHeaders;
  readonly known: KnownAccount;
  readonly manifest: Manifest;
}

const findService = ({ name, manifest }: ServiceInput): Service => {
  const service = manifest.services[name];
  if (service === undefined) throw new BeechliftError('unknownService', `manifest version ${manifest.version} has no service "${name.slice(0, 128)}"`);
  return service;
};

/**
 * Validates a call to a plain service.
 *
 * @example
 * const request = readServiceRequest({ id, name: 'tags', method: 'GET', path, body, headers, known,
 * manifest });
 */
export const readServiceRequest = (input: ServiceInput): CallerRequest => {
  const {
    id, name, method, path, body, headers, known, manifest,
  } = input;
  const service = findService(input);
  const tier = pickTier(known, headers);
  const pool = findPool(manifest, 'services', name);
  if (pool === undefined) throw new BeechliftError('unknownService', `no pool serves service "${name.slice(0, 128)}"`);
  const maxMs = Math.min(service.timeoutMs, manifest.tiers[tier]?.totalMs ?? service.timeoutMs);
  return {
    id,
    account: known.name,
    tier,
    pool,
    target: name,
    path,
    body: '',
    bodyHash: createHash('sha1').update(`${method} ${path}\n`).update(body).digest('base64url'),
    stream: false,
    promptTokens: 1,
    maxTokens: 1,
    prefixes: [],
    deadlineMs: readDeadline(headers, maxMs),
    ...readIdentity(headers, service.repeatable.includes(method)),
  };
};
