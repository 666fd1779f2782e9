import { setTimeout as pause } from 'node:timers/promises';
import { countEvents, formatEvents } from './pacedServer';
import type { CallerResult, RawCaller } from './rawCaller';
import {
  computeDurationMs, formatPath, isServiceRemoved, isExpired, isStream, KINDS, LENGTHS,
  makePlanRouting, SERVICES,
} from './stoppingPlan';
import type { PlannedRequest, StoppingPlan } from './stoppingPlan';
import { GRACE_MS, StoppingSite, TOKENS_HEADER } from './stoppingSite';

const SERVERS = 2;
const MAX_WAIT_MS = 15_000;
const WARM_UP_SHARES = [0, 0.3, 0.7, 1];
/** Time before the first signal for measurements and early requests, in milliseconds. */
const LEAD_TIME_MS = 450;
/** A request may cross the close of its connection within this time, in milliseconds. */
const CLOSE_RACE_MS = 200;
/** Time in which a request reaches the entry on a busy machine, in milliseconds. */
const MAX_DELIVERY_MS = 30;
/** Shares of the grace period: earliest abort of an answer, and latest end of a reader's pause. */
const END_SHARE = 0.8;
const PAUSE_SHARE = 0.7;
/** Plain answers up to this size are buffered: a caller receives all of one or nothing. */
const BUFFERED_BYTES = 65_536;
/** Time in which a server would receive a request that was wrongly refused, in milliseconds. */
const SETTLE_MS = 150;

/** Outcome of one request. */
interface Outcome {
  readonly planned: PlannedRequest;
  readonly id: string;
  /** Undefined if the connection was refused. */
  readonly result: CallerResult | undefined;
}

/** Returns the fault of an outcome; empty if it is correct. */
type OutcomeCheck = (outcome: Outcome, result: CallerResult) => string;

/** Runs a schedule of requests around the shutdown of entries, and checks all outcomes. */
export class StoppingRun {
  private readonly outcomes: Outcome[] = [];

  /** When each entry received its signal, monotonic milliseconds. */
  private readonly stopTimes: number[] = [];

  private readonly connections = new Map<string, Promise<RawCaller | undefined>>();

  private constructor(private readonly plan: StoppingPlan, private readonly site: StoppingSite) {}

  /** Runs a schedule; resolves with all faults. */
  static async perform(plan: StoppingPlan): Promise<string[]> {
    const site = await StoppingSite.start({
      routing: makePlanRouting('none'), entries: plan.entries, servers: SERVERS, services: SERVICES,
    });
    try {
      const run = new StoppingRun(plan, site);
      await run.warmUp();
      await run.run();
      return run.listFaults();
    } finally {
      await site.close();
    }
  }

  /** Sends requests so that each entry records the answer times of all services. */
  private async warmUp(): Promise<void> {
    const entries = Array.from({ length: this.plan.entries }, (unused, entry) => entry);
    const requests = entries.flatMap((entry) => LENGTHS.flatMap((length) => (
      KINDS.flatMap((kind) => WARM_UP_SHARES.map((share) => ({
        at: 0, entry, length, kind, share, kept: undefined, holdMs: 0, tellsLength: true, bytes: 1,
      }))))));
    await Promise.all(requests.map(async (planned, number) => {
      const caller = await this.site.open(planned.entry);
      await caller.send(this.makeRequest(planned, `warm${number}`));
      caller.close();
    }));
  }

  private async run(): Promise<void> {
    const { plan, site } = this;
    const firstStopAt = performance.now() + LEAD_TIME_MS;
    this.stopTimes.push(...Array.from({ length: plan.entries }, (unused, entry) => (
      firstStopAt + entry * plan.staggerMs)));
    const requests = plan.requests.map((planned, number) => this.sendPlanned(planned, `r${number}`));
    const stops = this.stopTimes.map(async (at, entry) => {
      await this.waitUntil(at);
      this.stopTimes[entry] = performance.now();
      await site.stop(entry);
    });
    await this.waitUntil(firstStopAt + plan.changeAt);
    if (plan.change !== 'none') site.replaceRouting(makePlanRouting(plan.change));
    await Promise.all([...requests, ...stops]);
    await pause(SETTLE_MS);
  }

  private async waitUntil(at: number): Promise<void> {
    await pause(Math.max(0, at - performance.now()));
  }

  private findStop({ entry }: PlannedRequest): number {
    return this.stopTimes[entry] ?? 0;
  }

  private async sendPlanned(planned: PlannedRequest, id: string): Promise<void> {
    await this.waitUntil(this.findStop(planned) + planned.at);
    const connectionKey = `${planned.entry}/${planned.kept ?? id}`;
    const previous = this.connections.get(connectionKey) ?? Promise.resolve(undefined);
    const sent = previous.then((caller) => this.sendOnConnection(caller, planned, id));
    this.connections.set(connectionKey, sent);
    await sent;
  }

  /** Sends a request over a connection, or over a new one if that has ended. */
  private async sendOnConnection(
    caller: RawCaller | undefined,
    planned: PlannedRequest,
    id: string,
  ): Promise<RawCaller | undefined> {
    const isOpen = caller !== undefined && !caller.isEnded;
    const connection = isOpen ? caller : await this.site.open(planned.entry).catch(() => undefined);
    const result = connection && await this.sendRequest(connection, planned, id);
    this.outcomes.push({ planned, id, result });
    return result?.answer?.headers.connection === 'close' ? undefined : connection;
  }

  private async sendRequest(
    caller: RawCaller,
    planned: PlannedRequest,
    id: string,
  ): Promise<CallerResult> {
    const request = this.makeRequest(planned, id);
    if (planned.holdMs === 0) return caller.send(request);
    const answer = caller.sendPaused(request);
    const latest = this.findStop(planned) + PAUSE_SHARE * GRACE_MS;
    await this.waitUntil(Math.min(performance.now() + planned.holdMs, latest));
    caller.resumeReading();
    return answer;
  }

  private makeRequest(planned: PlannedRequest, id: string) {
    const hasTokenCount = isStream(planned.kind) && planned.tellsLength;
    return {
      id,
      path: formatPath(planned),
      headers: {
        'x-patience': MAX_WAIT_MS,
        'x-form': isStream(planned.kind) ? 'stream' : 'plain',
        'x-lasts': computeDurationMs(planned),
        'x-bytes': planned.bytes,
        ...(hasTokenCount ? { [TOKENS_HEADER]: countEvents(computeDurationMs(planned)) } : {}),
      },
    };
  }

  private listFaults(): string[] {
    return this.outcomes.flatMap((outcome) => {
      const { planned, id, result } = outcome;
      const faults = [this.checkRunCount(outcome), result ? this.checkResult(outcome, result) : '']
        .filter((fault) => fault !== '');
      const times = result && {
        sent: Math.round(result.sentAt - this.findStop(planned)),
        ended: Math.round(result.endedAt - this.findStop(planned)),
        status: result.answer?.status,
        endReason: result.endReason,
        partial: result.partial.slice(0, 40),
      };
      return faults.map((fault) => `${fault}: ${JSON.stringify({ id, ...planned, ...times })}`);
    });
  }

  private checkRunCount({ planned: { kind }, id }: Outcome): string {
    const isOnce = kind === 'once' || kind === 'stream';
    return isOnce && this.site.countRuns(id) > 1 ? 'ran more than once' : '';
  }

  private checkResult(outcome: Outcome, result: CallerResult): string {
    if (!result.answer) return this.checkIncomplete(outcome, result);
    const checks: Record<number, OutcomeCheck> = {
      200: this.checkComplete,
      404: this.checkUnknownRoute,
      502: this.checkUnknownOutcome,
      503: this.checkRefusal,
      504: this.checkTimeout,
    };
    const check = checks[result.answer.status];
    return check ? check(outcome, result) : `status ${result.answer.status} not expected`;
  }

  private readonly checkComplete: OutcomeCheck = ({ planned }, { answer }) => {
    const expected = isStream(planned.kind)
      ? formatEvents(countEvents(computeDurationMs(planned)))
      : 'x'.repeat(planned.bytes);
    return answer?.body === expected ? '' : 'the body is not the expected one';
  };

  private readonly checkUnknownRoute: OutcomeCheck = ({ planned: { length } }) => (
    isServiceRemoved(this.plan.change, length) ? '' : 'no route was found, but the document has one');

  private readonly checkUnknownOutcome: OutcomeCheck = ({ planned }, { endedAt }) => (
    endedAt >= this.findStop(planned) + END_SHARE * GRACE_MS ? '' : 'aborted before the end of the grace period');

  private readonly checkTimeout: OutcomeCheck = ({ planned }, { sentAt, endedAt }) => (
    isExpired(planned, endedAt - sentAt) ? '' : 'timed out before the timeout of its route');

  private readonly checkRefusal: OutcomeCheck = ({ planned, id }, { answer, endedAt }) => {
    if (this.site.countRuns(id) > 0) return 'refused as not run, but it ran';
    if (answer?.headers['retry-after'] === undefined) return 'refused without retry-after';
    const stop = this.findStop(planned);
    const isLate = endedAt > stop + MAX_DELIVERY_MS;
    if (isLate && answer.headers.connection !== 'close') return 'refused without connection: close';
    return endedAt < stop ? 'refused before the signal' : '';
  };

  /**
   * An answer may be incomplete only in three cases: the request crossed the close of its
   * connection, the route's timeout expired, or the request was sent before the signal and its
   * answer was already being forwarded when the grace period ended.
   */
  private checkIncomplete(
    { planned, id }: Outcome,
    { sentAt, endedAt, partial }: CallerResult,
  ): string {
    if (partial !== '' && isExpired(planned, endedAt - sentAt)) return '';
    const hasRun = this.site.countRuns(id) > 0;
    if (!hasRun && partial === '' && endedAt - sentAt <= CLOSE_RACE_MS) return '';
    const stop = this.findStop(planned);
    const wasSentBeforeStop = sentAt <= stop + MAX_DELIVERY_MS;
    const isAtEnd = endedAt >= stop + END_SHARE * GRACE_MS;
    const isForwarded = isStream(planned.kind) || planned.bytes > BUFFERED_BYTES;
    const hasStarted = isForwarded && partial !== '';
    return wasSentBeforeStop && isAtEnd && hasStarted ? '' : 'the answer is incomplete';
  }
}
