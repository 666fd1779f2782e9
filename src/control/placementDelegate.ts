import { LoadList, PlaceNews, PlaceReply } from '../protocol/generated/beechlift';
import type {
  PlacedReport, PlaceRequest, StreamOriginRecord, WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import type { RestrictionFinder } from '../core/quarantine/placementRestriction';
import type { Mechanisms } from '../core/routing/mechanisms';
import { listChangedWorkers } from '../core/routing/workerRecords';
import { hasMixedService } from '../core/routing/workerTable';
import type { WorkerTable } from '../core/routing/workerTable';
import { resultCodes } from '../errors/resultCodes';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { CrashMemory } from './crashMemory';
import { DelegateAccounts } from './delegateAccounts';
import type { DelegatedStream } from './delegatedStream';
import { DelegateWork } from './delegateWork';
import { PlacementService } from './placementService';
import type { PlacementStream } from './placementStream';

/** Time without a reply of a leader after which nothing is granted any more, in milliseconds. */
const SHARE_TIMEOUT_MS = 10_000;
/** Time for which a leader that was late is not asked, in milliseconds. */
const LATE_LEADER_MS = 400;
/** How long an entry without a stream keeps its slots, in milliseconds. */
const ENTRY_TIMEOUT_MS = 2_000;
/** Most origins of streams that are kept for the leader; the oldest are dropped. */
const MAX_ORIGINS = 10_000;

/** Dependencies of a delegate. */
export interface PlacementDelegateParts {
  /** Id of this replica. */
  readonly replicaId: string;
  /** Returns the backend servers as last received from the leader. */
  readonly readTable: () => WorkerTable;
  /** Finds the restriction on a suspect request. */
  readonly findRestriction: RestrictionFinder;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly mechanisms?: Mechanisms | undefined;
}

/** What a delegate decides on, of a message of an entry. */
export interface DelegatedNews {
  readonly requests: readonly PlaceRequest[];
  readonly reports: readonly PlacedReport[];
}

/** A message of an entry, divided. */
export interface SplitNews {
  readonly own: DelegatedNews;
  /** What goes on to the leader; undefined if nothing does. */
  readonly others: PlaceNews | undefined;
}

/**
 * Grants the slots of the servers that the leader lends this replica, to the entries whose streams
 * it serves. Without it each request of a site would be a decision of one process.
 *
 * The leader decides on what needs to be known in one place: suspects, and streams whose version
 * matters. While it is late or being replaced, the replica goes on with the servers that it has.
 *
 * @example
 * const { own, others } = delegate.split(message);
 * delegate.handle(own, stream);
 */
export class PlacementDelegate {
  private readonly service: PlacementService;

  private readonly accounts = new DelegateAccounts();

  private readonly streams = new Set<DelegatedStream>();

  /** Entries, and when each of their last streams ended; Infinity while one is open. */
  private readonly entries = new Map<string, number>();

  private ownIds: ReadonlySet<string> = new Set();

  /** When the leader sent the last share, monotonic milliseconds. */
  private sharedAt = -Infinity;

  private leaderLateUntil = -Infinity;

  /** Requests that are left to the leader before its list names them. */
  private readonly crashes = new CrashMemory();

  /** Origins of streams that the leader was not told. */
  private origins: readonly StreamOriginRecord[] = [];

  /** The server table that was applied. */
  private applied = { epoch: '', revision: 0 };

  private readonly work: DelegateWork;

  constructor(private readonly parts: PlacementDelegateParts) {
    this.work = new DelegateWork(parts.clock, parts.logger);
    this.service = new PlacementService({
      clock: parts.clock,
      logger: parts.logger,
      mechanisms: parts.mechanisms,
      findRestriction: parts.findRestriction,
      isDelegate: true,
      handleUnplaced: ({ account, cost }) => this.accounts.refund(account, cost),
    });
  }

  /** Whether this replica has servers to grant. */
  get isActive(): boolean {
    return this.ownIds.size > 0 && this.parts.clock.now() - this.sharedAt < SHARE_TIMEOUT_MS;
  }

  /** Whether the leader was late a moment ago. */
  get isLeaderLate(): boolean {
    return this.parts.clock.now() < this.leaderLateUntil;
  }

  /** Counts the requests that wait for a slot here, and those that hold one. */
  countRequests(): { readonly waiting: number; readonly placed: number } {
    return this.service.countRequests();
  }

  /** Builds the fields of a watch request to the leader. */
  buildPart(): Pick<WatchRequest, 'delegate' | 'spends'> {
    return {
      delegate: {
        replicaId: this.parts.replicaId,
        workerIds: [...this.ownIds],
        demands: this.service.listDemands(),
        loads: this.service.addPlaced([]),
        origins: [...this.origins],
      },
      spends: this.accounts.listSpends(this.parts.clock.now()),
    };
  }

  /** Applies a watch reply of the leader. */
  applyReply(
    { delegate, grants, loadList }: WatchReply,
    request: Pick<WatchRequest, 'delegate'> = {},
  ): void {
    if (!delegate) return;
    const now = this.parts.clock.now();
    this.origins = this.origins.slice(request.delegate?.origins.length ?? 0);
    this.setServers(delegate.workerIds);
    this.sharedAt = now;
    this.accounts.applyGrants(grants, now);
    this.applyTable();
    this.service.applyOtherLoads(LoadList.decode(loadList).loads);
  }

  /** Divides a message of an entry into what is decided here and what the leader decides. */
  split(message: PlaceNews): SplitNews {
    const { requests, reports, entryId } = message;
    this.crashes.add(message.sightings, this.parts.clock.now());
    const origins = this.keepOrigins(message);
    const ownRequests = requests.filter((request) => this.canDecide(request));
    const otherRequests = requests.filter((request) => !ownRequests.includes(request));
    const otherReports = reports.filter(({ placeId }) => !this.service.holds(placeId));
    otherRequests.filter((request) => this.isDelegable(request))
      .forEach((request) => this.service.recordArrival(request));
    this.work.count('passedOn', otherRequests.length);
    const count = otherRequests.length + otherReports.length + message.sightings.length
      + message.served.length + origins.length;
    return {
      own: {
        requests: ownRequests,
        reports: reports.filter((report) => !otherReports.includes(report)),
      },
      others: count > 0 || entryId !== ''
        ? {
          ...message, requests: otherRequests, reports: otherReports, origins,
        }
        : undefined,
    };
  }

  /** Decides on requests, and applies reports on those that were placed here. */
  handle({ requests, reports }: DelegatedNews, stream: PlacementStream): void {
    this.service.applyReports(reports);
    const charged = requests.filter((request) => this.charge(request, stream));
    if (charged.length === 0) return;
    // The entry reports itself which version begins a stream.
    this.service.requestSlots(charged.map((request) => ({ ...request, requestId: '' })), stream);
  }

  /** Adds the stream of an entry, with the slots that the entry holds; it replaces earlier ones. */
  openStream(stream: DelegatedStream, held: readonly string[]): void {
    [...this.streams].filter((other) => other !== stream && other.entryId === stream.entryId)
      .forEach((other) => other.close());
    this.streams.add(stream);
    this.entries.set(stream.entryId, Infinity);
    this.service.releaseUnheld(stream.entryId, held);
  }

  /** Removes a stream that has ended. */
  closeStream(stream: DelegatedStream): void {
    this.service.closeStream(stream.placementStream);
    if (this.streams.delete(stream)) {
      this.entries.set(stream.entryId, this.parts.clock.now());
    }
  }

  /** Records that the leader did not answer in time. */
  recordLateLeader(): void {
    if (!this.isLeaderLate) this.parts.logger.warn('control leader does not answer, entries place what only it decides', {});
    this.leaderLateUntil = this.parts.clock.now() + LATE_LEADER_MS;
  }

  /** Counts requests that are left to their entries. */
  countUndecided(count: number): void {
    this.work.count('undecided', count);
  }

  /** Runs the timers: waiting requests, lost entries, late leaders. */
  tick(): void {
    const now = this.parts.clock.now();
    this.applyTable();
    this.entries.forEach((endedAt, id) => {
      if (now - endedAt > ENTRY_TIMEOUT_MS) this.entries.delete(id);
    });
    this.service.expire((entryId) => this.entries.has(entryId));
    this.service.placeWaiting();
    this.streams.forEach((stream) => stream.checkLeader());
    this.work.log({ servers: this.ownIds.size, ...this.service.countRequests() });
  }

  /** Gives up all servers and streams, as this replica leads now or stops. */
  close(): void {
    this.setServers([]);
    [...this.streams].forEach((stream) => stream.close());
  }

  private setServers(workerIds: readonly string[]): void {
    const before = this.ownIds.size;
    this.ownIds = new Set(workerIds);
    this.service.markLent((id) => !this.ownIds.has(id));
    if ((before === 0) !== (this.ownIds.size === 0)) {
      this.parts.logger.info('servers lent by the leader', { servers: this.ownIds.size });
    }
  }

  /** Applies changes of servers; new ones are not lent before the leader says so. */
  private applyTable(): void {
    const table = this.parts.readTable();
    const { epoch, revision } = table;
    if (this.applied.epoch === epoch && this.applied.revision === revision) return;
    const since = this.applied.epoch === epoch ? this.applied.revision : 0;
    this.service.applyRecords(listChangedWorkers(table, epoch, since));
    this.service.markLent((id) => !this.ownIds.has(id));
    this.applied = { epoch, revision };
  }

  private canDecide(request: PlaceRequest): boolean {
    return this.isActive && this.service.canGrant(request.service) && this.isDelegable(request);
  }

  /** Whether this replica may decide on a request if it has servers for it. */
  private isDelegable({
    origin, takesUp, fingerprint, requestId,
  }: PlaceRequest): boolean {
    if (origin || takesUp || this.isSuspect(fingerprint)) return false;
    // Only the leader remembers which version began a stream while several run.
    return requestId === '' || !hasMixedService(this.parts.readTable());
  }

  /**
   * Keeps the origins of streams for the next report to the leader; returns those that cannot wait.
   * An entry that begins its stream tells all of them to a leader that may be another one.
   */
  private keepOrigins({ origins, entryId }: PlaceNews): StreamOriginRecord[] {
    if (origins.length === 0) return origins;
    const canWait = this.isActive && entryId === '' && !hasMixedService(this.parts.readTable());
    if (!canWait) return origins;
    this.origins = [...this.origins, ...origins].slice(-MAX_ORIGINS);
    return [];
  }

  private isSuspect(fingerprint: string): boolean {
    if (fingerprint === '') return false;
    return this.crashes.has(fingerprint, this.parts.clock.now())
      || this.parts.findRestriction(fingerprint).kind !== 'none';
  }

  /** Charges a request to its account; answers it if that is not possible. */
  private charge(request: PlaceRequest, stream: PlacementStream): boolean {
    const { placeId, account } = request;
    if (this.service.holds(placeId)) return false;
    const result = this.accounts.charge(request, this.parts.clock.now());
    if (result.kind === 'charged') {
      this.work.count('decided');
      return true;
    }
    if (result.kind === 'unknown') {
      this.countUndecided(1);
      stream.add(PlaceReply.fromPartial({ placeId, undecided: true }));
      return false;
    }
    this.work.count('limited');
    stream.add(PlaceReply.fromPartial({
      placeId,
      code: resultCodes.accountLimited.number,
      message: `account "${account}" is over its limit`,
      retryAfterMs: Math.ceil(result.retryAfterMs),
    }));
    return false;
  }
}
