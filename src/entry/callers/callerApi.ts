import { randomUUID } from 'node:crypto';
import type { ClaimClient } from '../sending/claimClient';
import { rankEntries } from '../../core/membership/entrySelection';
import { BeechliftError, toBeechliftError } from '../../errors/beechliftError';
import { resultCodes } from '../../errors/resultCodes';
import type { Manifest } from '../../manifest/manifest';
import type { Logger } from '../../telemetry/logger';
import type { Metrics } from '../../telemetry/metrics';
import type { HopTracer } from '../../telemetry/tracing';
import { failHop } from '../../telemetry/tracing';
import { isKeyOf } from '../../utils/secretKey';
import { computeSha256 } from '../../utils/canonicalJson';
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
 * A request beyond its deadline may still be served while lower tiers hold slots; then it is given
 * up.
 */
const WAIT_EXTENSION_MS = 30_000;
/** An answer that has begun is relayed to its end, however late, within this. */
const RELAY_TIMEOUT_MS = 1_800_000;
/** How long a repeatable answer goes on without its caller before it is cancelled. */
const DISCONNECT_GRACE_MS = 10_000;
/** How often a backend server is asked to announce itself. */
const ANNOUNCE_INTERVAL_MS = 1_000;
const BEARER = /^Bearer\s+(\S.*)$/i;

/** What the caller-facing API of an entry is made of. */
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

/** A completion request that was checked. */
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

/** One entry VM that a caller may use. */
export interface LocatedEntry {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
}

/** Answer to a locate. */
export interface LocateAnswer {
  readonly entries: readonly LocatedEntry[];
  /** How long the answer may be kept, in milliseconds. */
  readonly keepMs: number;
  /** When the older scheduler is to take this caller's requests. */
  readonly older?: readonly string[];
}

/**
 * What callers and backend servers can ask of an entry; it knows nothing of HTTP.
 *
 * @example
 * const call = api.readCompletion(path, body, headers);
 * await api.runCompletion(call, sink, link);
 */
export class CallerApi {
  private readonly accountByHash = new Map<string, KnownAccount>();

  constructor(private readonly parts: CallerApiParts) {
    parts.configuration.addListener({
      onManifestChange: (manifest) => this.indexAccounts(manifest),
      onMembersChange: () => undefined,
    });
  }

  /** Checks a completion request. */
  readCompletion(path: string, body: Buffer, headers: CallerHeaders): CheckedCompletion {
    const manifest = this.requireServing();
    const known = this.findAccount(headers);
    this.checkBodySize(body, manifest);
    const request = readCompletionRequest({
      id: this.makeId(), path, text: body.toString(), headers, known, manifest,
    });
    return { request, headers };
  }

  /** Runs a completion; resolves when the answer is whole, throws when there is none. */
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
    const caller: CallerConnection = { isDisconnected: call.isDisconnected, onDisconnect: () => undefined };
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

  /** Tells a caller which entry VMs to use, and for how long. */
  locate(headers: CallerHeaders): LocateAnswer {
    const manifest = this.requireServing(true);
    const known = this.findAccount(headers);
    const zone = String(headers[CALLER_HEADERS.zone] ?? this.parts.zone);
    const ranked = rankEntries(this.parts.configuration.members, known.name, zone);
    const older = this.findOlderAddresses(manifest, known);
    return {
      entries: ranked.map(
        ({ id, callerAddress, zone: at }) => ({ id, address: callerAddress, zone: at }),
      ),
      keepMs: manifest.limits.locateMs,
      ...(older ? { older } : {}),
    };
  }

  /** Takes in what a backend server says of itself. */
  async announce(body: Buffer): Promise<{ readonly nextMs: number }> {
    const manifest = this.requireServing(true);
    await this.parts.scheduler.announce(readAnnouncement(body.toString(), manifest));
    return { nextMs: ANNOUNCE_INTERVAL_MS };
  }

  /** What this entry has in force. */
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

  /** Text for a scrape. */
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
    const { span, below } = tracer.startHop('caller', tracer.readContext(headers), {
      request: request.id, tier: request.tier, account: request.account, target: request.target,
    });
    const job = this.makeJob(request, sink, caller, below);
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
      makeWaitOperation: makeWaitOperation,
      relayOperation: new Operation({ timeoutMs: RELAY_TIMEOUT_MS, clock }),
      startedAt: clock.now(),
      unexecutedDispatches: 0,
    };
    caller.onDisconnect(() => this.handleDisconnect(job));
    return job;
  }

  /**
   * A caller that is gone takes its waiting request with it. An answer that has begun is cancelled
   * when nobody can ask for it again, after a grace when it may be repeated, and never when it may
   * not.
   */
  private handleDisconnect(job: RequestJob): void {
    job.waitOperation.cancel('caller gone');
    if (!job.request.isIdempotent) return;
    const graceMs = job.claim.hasKey ? DISCONNECT_GRACE_MS : 0;
    setTimeout(() => job.relayOperation.cancel('caller gone'), graceMs).unref();
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
    throw new BeechliftError('bodyTooLarge', `the body has ${body.length} bytes, at most ${limits.bodyBytes} are taken`);
  }

  private findAccount(headers: CallerHeaders): KnownAccount {
    const key = BEARER.exec(String(headers.authorization ?? ''))?.[1] ?? '';
    const known = this.accountByHash.get(computeSha256(key));
    // The table is found by hash; the comparison in constant time settles it.
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

  /** Sticky by account: the same accounts stay with the older scheduler while the share stands. */
  private findOlderAddresses(
    manifest: Manifest,
    { name, account }: KnownAccount,
  ): readonly string[] | undefined {
    const hashFraction = parseInt(computeSha256(`migration:${name}`).slice(0, 8), 16) / 0x1_0000_0000;
    const rules = [
      manifest.migration[name], ...account.tiers.map((tier) => manifest.migration[tier]),
    ];
    const rule = rules.find(
      (item, position) => item && (position === 0 ? item.of === 'account' : item.of === 'tier'),
    );
    return rule && hashFraction >= rule.share ? rule.olderAddresses : undefined;
  }
}
