import { randomUUID } from 'node:crypto';
import type { ClaimClient } from '../sending/claimClient';
import { rankEntries } from '../../core/membership/entrySelection';
import { BeechliftError, toBeechliftError } from '../../errors/beechliftError';
import { decodeText } from '../../errors/decodeText';
import { resultCodes } from '../../errors/resultCodes';
import type { Manifest } from '../../manifest/manifest';
import type { Logger } from '../../telemetry/logger';
import type { Metrics } from '../../telemetry/metrics';
import type { HopTracer } from '../../telemetry/tracing';
import { failHop } from '../../telemetry/tracing';
import { isKeyOf } from '../../utils/secretKey';
import { computeSha256 } from '../../utils/canonicalJson';
import { computeHashFraction } from '../../utils/hashFraction';
import type { Clock } from '../../utils/clock';
import { Operation } from '../../utils/operation';
import type { ActiveTable } from './activeTable';
import { readAnnouncement } from '../choosing/announcement';
import type { AnswerSink } from './answerSink';
import { CALLER_HEADERS, readCompletionRequest, readServiceRequest } from './callerRequest';
import type { CallerHeaders, CallerRequest, KnownAccount } from './callerRequest';
import type { Configuration } from '../inForce/configuration';
import type { ModelRunner } from '../sending/modelRunner';
import { RequestClaim } from '../sending/requestClaim';
import type { CallerConnection, RequestJob } from './requestJob';
import type { RetryBudget } from '../sending/retryBudget';
import type { Scheduler } from '../choosing/scheduler';
import type { ServiceAnswer } from '../sending/serviceClient';
import type { ServiceRunner } from '../sending/serviceRunner';
import { pickForwardedHeaders } from '../sending/serviceClient';
import { formatWorkerStatus } from '../choosing/workerStatus';

/**
 * How long a request may wait beyond its deadline. It may still be served while lower tiers hold
 * slots; afterwards it fails.
 */
const WAIT_EXTENSION_MS = 30_000;
/** Maximum time to relay an answer. Within it a late answer is relayed to its end. */
const RELAY_TIMEOUT_MS = 1_800_000;
/** How long the answer of a repeatable request continues after its caller disconnected. */
const DISCONNECT_GRACE_MS = 10_000;
/** Announcement interval that is requested from backend servers. */
const ANNOUNCE_INTERVAL_MS = 1_000;
const BEARER = /^Bearer\s+(\S.*)$/i;

/** Dependencies of the caller-facing API of an entry. */
export interface CallerApiParts {
  readonly id: string;
  readonly zone: string;
  readonly configuration: Configuration;
  readonly scheduler: Scheduler;
  readonly claims: ClaimClient;
  readonly models: ModelRunner;
  readonly services: ServiceRunner;
  readonly active: ActiveTable;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  readonly tracer: HopTracer;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly isLeaving: () => boolean;
}

/** A validated completion request. */
export interface CheckedCompletion {
  readonly request: CallerRequest;
  readonly headers: CallerHeaders;
}

/** A call to a plain service. */
export interface ServiceCallInput {
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly headers: CallerHeaders;
  readonly body: Buffer;
  readonly isDisconnected: () => boolean;
}

/** An entry VM that a caller may use. */
export interface LocatedEntry {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
}

/** Answer to a locate request. */
export interface LocateAnswer {
  readonly entries: readonly LocatedEntry[];
  /** How long the caller may cache the answer, in milliseconds. */
  readonly keepMs: number;
  /** Addresses of the older scheduler, when it is to serve this caller's requests. */
  readonly older?: readonly string[];
}

/**
 * The operations that an entry offers to callers and backend servers, independent of HTTP.
 *
 * @example
 * const completion = api.readCompletion(path, body, headers);
 * await api.runCompletion(completion, sink, connection);
 */
export class CallerApi {
  private readonly accountByHash = new Map<string, KnownAccount>();

  constructor(private readonly parts: CallerApiParts) {
    parts.configuration.addListener({
      onManifestChange: (manifest) => this.indexAccounts(manifest),
      onMembersChange: () => undefined,
    });
  }

  /** Validates a completion request. */
  readCompletion(path: string, body: Buffer, headers: CallerHeaders): CheckedCompletion {
    const manifest = this.requireServing();
    const known = this.findAccount(headers);
    this.checkBodySize(body, manifest);
    const request = readCompletionRequest({
      id: this.makeId(), path, text: decodeText(body), headers, known, manifest,
    });
    return { request, headers };
  }

  /** Runs a completion; resolves when the answer is complete, throws when there is none. */
  async runCompletion(
    { request, headers }: CheckedCompletion,
    sink: AnswerSink,
    caller: CallerConnection,
  ): Promise<void> {
    await this.runJob(request, headers, sink, caller, (job) => this.parts.models.run(job));
  }

  /** Calls a plain service. */
  async callService(call: ServiceCallInput): Promise<ServiceAnswer> {
    const manifest = this.requireServing();
    const known = this.findAccount(call.headers);
    this.checkBodySize(call.body, manifest);
    const request = readServiceRequest({
      ...call, id: this.makeId(), known, manifest,
    });
    const sink: AnswerSink = { deliver: async () => undefined, end: async () => undefined };
    const caller: CallerConnection = {
      isDisconnected: call.isDisconnected,
      onDisconnect: () => undefined,
    };
    const dispatch = {
      method: call.method, headers: pickForwardedHeaders(call.headers), body: call.body,
    };
    return this.runJob(
      request,
      call.headers,
      sink,
      caller,
      (job) => this.parts.services.run(job, dispatch),
    );
  }

  /** Returns the entry VMs that a caller may use, and how long this answer is valid. */
  locate(headers: CallerHeaders): LocateAnswer {
    const manifest = this.requireServing(true);
    const known = this.findAccount(headers);
    const zone = String(headers[CALLER_HEADERS.zone] ?? this.parts.zone);
    const ranked = rankEntries(this.parts.configuration.members, known.name, zone);
    const older = this.findOlderAddresses(manifest, known);
    return {
      entries: ranked.map(
        ({ id, callerAddress, zone: entryZone }) => (
          { id, address: callerAddress, zone: entryZone }),
      ),
      keepMs: manifest.limits.locateMs,
      ...(older ? { older } : {}),
    };
  }

  /** Handles the announcement of a backend server. */
  async announce(body: Buffer): Promise<{ readonly nextMs: number }> {
    const manifest = this.requireServing(true);
    await this.parts.scheduler.announce(readAnnouncement(decodeText(body), manifest));
    return { nextMs: ANNOUNCE_INTERVAL_MS };
  }

  /** Returns the configuration in force and the state of the owned pools, for the status page. */
  readStatus(): object {
    const { configuration, active, id } = this.parts;
    return {
      id,
      isServing: configuration.isServing,
      isLeaving: this.parts.isLeaving(),
      manifestVersion: configuration.version,
      manifestDigest: configuration.digest,
      leaseMs: Math.round(configuration.leaseMs),
      viewNumber: configuration.viewNumber,
      open: active.size,
      owned: this.parts.scheduler.listOwned().map(({ tables }) => ({
        pool: tables.pool,
        waiting: tables.waiting.size,
        running: tables.running.size,
        workers: [...tables.workers.values()].map((worker) => formatWorkerStatus(tables, worker)),
      })),
    };
  }

  /** Formats the metrics for a scrape. */
  formatMetrics(): Promise<string> {
    const { metrics, configuration, scheduler } = this.parts;
    metrics.version.set(configuration.version);
    metrics.lease.set(configuration.leaseMs / 1_000);
    metrics.queued.reset();
    scheduler.listOwned().forEach(({ tables }) => {
      tables.waiting.forEach(({ rank }) => metrics.queued.inc({ pool: tables.pool, rank }));
      metrics.workers.set({ pool: tables.pool, state: 'known' }, tables.workers.size);
    });
    return metrics.format();
  }

  private async runJob<Result>(
    request: CallerRequest,
    headers: CallerHeaders,
    sink: AnswerSink,
    caller: CallerConnection,
    run: (job: RequestJob) => Promise<Result>,
  ): Promise<Result> {
    const {
      active, metrics, tracer, budget,
    } = this.parts;
    const { span, childContext } = tracer.startHop('caller', tracer.readContext(headers), {
      request: request.id, tier: request.tier, account: request.account, target: request.target,
    });
    const job = this.makeJob(request, sink, caller, childContext);
    active.add(request.id);
    budget.countRequest();
    try {
      const result = await run(job);
      metrics.requests.inc({ tier: request.tier, code: 0 });
      span.end();
      return result;
    } catch (thrown) {
      const error = toBeechliftError(thrown);
      metrics.requests.inc({ tier: request.tier, code: error.number });
      this.logFailure(request, error);
      failHop(span, error.code);
      throw error;
    } finally {
      active.remove(request.id);
    }
  }

  private logFailure(request: CallerRequest, error: BeechliftError): void {
    const level = error.code === 'internalFailure' ? 'error' : 'info';
    this.parts.logger[level]('request ended without an answer', {
      requestId: request.id,
      code: error.number,
      name: error.code,
      run: error.run,
      reason: error.message,
    });
  }

  private makeJob(
    request: CallerRequest,
    sink: AnswerSink,
    caller: CallerConnection,
    context: RequestJob['context'],
  ): RequestJob {
    const { clock, claims } = this.parts;
    const makeWaitOperation = () => new Operation({
      timeoutMs: request.deadlineMs + WAIT_EXTENSION_MS, clock,
    });
    const job: RequestJob = {
      request,
      sink,
      caller,
      context,
      claim: new RequestClaim(request, claims),
      waitOperation: makeWaitOperation(),
      makeWaitOperation,
      relayOperation: new Operation({ timeoutMs: RELAY_TIMEOUT_MS, clock }),
      startedAt: clock.now(),
      unexecutedDispatches: 0,
    };
    caller.onDisconnect(() => this.handleDisconnect(job));
    return job;
  }

  /**
   * Cancels the work of a caller that disconnected. A waiting request is cancelled at once. An
   * idempotent request that was dispatched is cancelled at once without a key, and after a grace
   * period with one, because a resend may still request its answer. A request that is not
   * idempotent is never cancelled.
   */
  private handleDisconnect(job: RequestJob): void {
    job.waitOperation.cancel('caller disconnected');
    if (!job.request.isIdempotent) return;
    const graceMs = job.claim.hasKey ? DISCONNECT_GRACE_MS : 0;
    setTimeout(() => job.relayOperation.cancel('caller disconnected'), graceMs).unref();
  }

  private makeId(): string {
    return `${this.parts.id}-${randomUUID()}`;
  }

  private requireServing(allowLeaving = false): Manifest {
    const { configuration, id, isLeaving } = this.parts;
    const { manifest } = configuration;
    if (!manifest || !configuration.isServing) {
      throw new BeechliftError('configurationStale', `entry VM "${id}" holds no lease on the configuration`, { retryAfterMs: 1_000 });
    }
    if (isLeaving() && !allowLeaving) {
      throw new BeechliftError('entryLeaving', `entry VM "${id}" is shutting down`, { retryAfterMs: 0 });
    }
    return manifest;
  }

  private checkBodySize(body: Buffer, { limits }: Manifest): void {
    if (body.length <= limits.bodyBytes) return;
    throw new BeechliftError('bodyTooLarge', `the body has ${body.length} bytes, the limit is ${limits.bodyBytes}`);
  }

  private findAccount(headers: CallerHeaders): KnownAccount {
    const key = BEARER.exec(String(headers.authorization ?? ''))?.[1] ?? '';
    const known = this.accountByHash.get(computeSha256(key));
    // The account is looked up by hash, then the key is compared in constant time.
    if (!known || !isKeyOf(key, known.account.keyHashes)) {
      throw new BeechliftError('unknownKey', `no client account has this API key (${resultCodes.unknownKey.number})`);
    }
    return known;
  }

  private indexAccounts({ accounts }: Manifest): void {
    this.accountByHash.clear();
    Object.entries(accounts).forEach(([name, account]) => {
      account.keyHashes.forEach((hash) => this.accountByHash.set(hash, { name, account }));
    });
  }

  /** Selects by account: the same accounts stay on the older scheduler until the share changes. */
  private findOlderAddresses(
    manifest: Manifest,
    { name, account }: KnownAccount,
  ): readonly string[] | undefined {
    const hashFraction = computeHashFraction(`migration:${name}`);
    const rules = [
      manifest.migration[name], ...account.tiers.map((tier) => manifest.migration[tier]),
    ];
    const rule = rules.find(
      (item, position) => item && (position === 0 ? item.of === 'account' : item.of === 'tier'),
    );
    return rule && hashFraction >= rule.share ? rule.olderAddresses : undefined;
  }
}
