import type {
  PlacedReport, PlaceManyReply, PlaceManyRequest, PlaceReply, PlaceRequest, ReportPlacedRequest,
  SiteClient,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { Operation } from '../utils/operation';
import type { RpcLink } from '../wire/rpcLink';

/**
 * Silence after which the leader counts as out of reach: it answers a request that waits each 150
 * ms, so this is one such hold and some twenty times a round trip.
 */
const SILENCE_MS = 250;
/** How long requests are placed here after the leader was out of reach. */
const SUSPECT_MS = 400;
const REPORT_TIMEOUT_MS = 500;
/** Reports that wait for one call, at most; the oldest are dropped, as slots expire anyway. */
const MAX_REPORTS = 2_000;
/** News of running streams go out together this often, in milliseconds. */
const FLUSH_MS = 20;

/** What the place client needs. */
export interface PlaceClientParts {
  /** The leader of control; undefined while none is known. */
  readonly findLeader: () => RpcLink<SiteClient> | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A request that is to be asked for with the next call. */
interface PendingAsk {
  readonly request: PlaceRequest;
  readonly resolve: (reply: PlaceReply | undefined) => void;
}

/**
 * Asks the leader which model engine takes a request, and tells it how that goes.
 *
 * Guards requests against a leader that is dead, frozen or cut off: after a short silence, and for
 * a while from then on, the entry chooses by itself.
 *
 * @example
 * const reply = await client.place(request, operation);
 * if (!reply) chooseHere();
 */
export class PlaceClient {
  private suspectUntil = -Infinity;

  private readonly asks: PendingAsk[] = [];

  private reports: PlacedReport[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: PlaceClientParts) {}

  /** Asks until it is decided; undefined when the leader cannot be asked. */
  async place(request: PlaceRequest, deadlineAt: number): Promise<PlaceReply | undefined> {
    const { clock, findLeader } = this.parts;
    const now = clock.now();
    if (!findLeader() || now < this.suspectUntil || now >= deadlineAt) return undefined;
    const reply = await this.enqueue(request);
    return reply?.waiting ? this.place(request, deadlineAt) : reply;
  }

  /*
   * Guards a leader that has just begun against what was held back until then: an entry's requests
   * of one moment go as one call. Each as a call of its own, some hundred of them took the leader
   * longer than the silence after which it counts as dead, and limits were then counted by loans
   * alone: 33 requests of accounts within their limits were refused after a restart of all.
   */
  private enqueue(request: PlaceRequest): Promise<PlaceReply | undefined> {
    return new Promise((resolve) => {
      this.asks.push({ request, resolve });
      if (this.asks.length === 1) setImmediate(() => this.askAll());
    });
  }

  private askAll(): void {
    const asks = this.asks.splice(0);
    const leader = this.parts.findLeader();
    if (!leader) {
      asks.forEach(({ resolve }) => resolve(undefined));
      return;
    }
    this.call(leader, asks.map(({ request }) => request))
      .then((replies) => asks.forEach(({ resolve }, position) => resolve(replies?.[position])))
      .catch((error: unknown) => this.parts.logger.error('placing failed', { reason: String(error) }));
  }

  /** Tells how a placed request goes: at once when it has ended, as others wait for its slot. */
  report(report: PlacedReport): void {
    this.reports.push(report);
    if (this.reports.length > MAX_REPORTS) this.reports.shift();
    if (report.phase !== 'running') this.flush();
    else this.timer ??= setTimeout(() => this.flush(), FLUSH_MS);
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const { reports } = this;
    const leader = this.parts.findLeader();
    this.reports = [];
    if (!leader || reports.length === 0) return;
    leader.call<ReportPlacedRequest, object>(
      (stub) => stub.reportPlaced.bind(stub),
      { reports },
      new Operation({ timeoutMs: REPORT_TIMEOUT_MS }),
    ).catch((error: unknown) => this.parts.logger.debug('report lost', { reason: (error as Error).message }));
  }

  private async call(
    leader: RpcLink<SiteClient>,
    requests: PlaceRequest[],
  ): Promise<readonly PlaceReply[] | undefined> {
    try {
      const { replies } = await leader.call<PlaceManyRequest, PlaceManyReply>(
        (stub) => stub.place.bind(stub),
        { requests },
        new Operation({ timeoutMs: SILENCE_MS }),
      );
      return replies;
    } catch (error) {
      const now = this.parts.clock.now();
      if (now >= this.suspectUntil) this.parts.logger.warn('requests are placed here: the leader is out of reach', { reason: (error as Error).message });
      this.suspectUntil = now + SUSPECT_MS;
      return undefined;
    }
  }
}
