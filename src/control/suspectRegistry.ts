import type {
  PlaceNews, SuspectRecord, WatchReply, WatchRequest, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import {
  computeRemainingRefusalMs, findStage, FIRST_REVISION, hasUnsettledCrash, makeCrashTable,
  formatIncarnation, recordCrash, recordServed, computeSuspectWeight,
} from '../core/quarantine/crashTable';
import type { StageChange, SuspectStage } from '../core/quarantine/crashTable';
import { expireSuspects, evaluateCrashes, recordAnnouncement } from '../core/quarantine/crashEvaluation';
import { isPartKey } from '../core/quarantine/promptPart';
import { NO_RESTRICTION } from '../core/quarantine/placementRestriction';
import type { RestrictionKind, PlacementRestriction } from '../core/quarantine/placementRestriction';
import { SuspectList } from '../core/quarantine/suspectList';
import type { SuspectListVersion } from '../core/quarantine/suspectList';
import { adoptSuspect, listSuspects } from '../core/quarantine/suspectRecords';
import { computeUpdateDelayMs } from '../core/routing/messageIntervals';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { HeldCalls } from '../utils/heldCalls';
import type { RecordCache } from './recordCache';

/** Interval at which old suspects are removed, in milliseconds. */
const EXPIRE_MS = 1_000;

/** Dependencies of the suspect registry. */
export interface SuspectRegistryParts {
  /** Suspects that were cached before a restart. */
  readonly cachedSuspects: readonly SuspectRecord[];
  readonly suspectCache: Pick<RecordCache<SuspectRecord>, 'saveIfChanged'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Watch requests that are held until there is an update. */
  readonly watches: HeldCalls;
  /** Counts the entries that send watch requests. */
  readonly countEntries: () => number;
}

/** Fields of a watch reply that list the suspect requests. */
export type SuspectPart = Pick<WatchReply, 'suspects' | 'suspectsRevision'>;

/**
 * Requests that are suspected of crashing backend servers. The leader receives the crash reports
 * and evaluates them, followers copy its list, and all replicas cache the list across restarts.
 *
 * @example
 * suspects.applyReports(message); // entries receive the changes in their next watch reply
 */
export class SuspectRegistry {
  private table = makeCrashTable();

  /** Suspect list of the leader; used on followers. */
  private readonly leaderList = new SuspectList();

  private lastExpiryAt = 0;

  constructor(private readonly parts: SuspectRegistryParts) {
    this.restore(parts.cachedSuspects);
  }

  /** Version of the leader's list that this replica has. */
  get heldVersion(): SuspectListVersion {
    return this.leaderList.heldVersion;
  }

  /** Applies reports of servers that crashed while they ran requests, and of served requests. */
  applyReports({ sightings, served }: Pick<PlaceNews, 'sightings' | 'served'>): void {
    const now = this.parts.clock.now();
    sightings.forEach((sighting) => {
      const { fingerprint, ageMs } = sighting;
      recordCrash(this.table, fingerprint, formatIncarnation(sighting), now - ageMs, now);
    });
    this.reportChanges(
      served.flatMap((fingerprint) => recordServed(this.table, fingerprint, now)),
    );
  }

  /** Records an announcement of a server: it shows that the server did not crash. */
  handleAnnouncement(announcement: WorkerAnnouncement): void {
    if (announcement.state === 'gone') return;
    const now = this.parts.clock.now();
    this.reportChanges(recordAnnouncement(
      this.table,
      formatIncarnation(announcement),
      announcement.sequence,
      now,
    ));
  }

  /** Evaluates the crash reports, and removes old suspects. */
  evaluate(): void {
    const now = this.parts.clock.now();
    this.reportChanges(evaluateCrashes(this.table, now));
    if (now - this.lastExpiryAt < EXPIRE_MS) return;
    this.lastExpiryAt = now;
    this.reportChanges(expireSuspects(this.table, now));
  }

  /** Finds the restriction that applies to a slot request. */
  findRestriction(fingerprint: string): PlacementRestriction {
    const suspect = this.table.suspects.get(fingerprint);
    if (!suspect) return NO_RESTRICTION;
    const now = this.parts.clock.now();
    const kinds: Record<SuspectStage, RestrictionKind> = {
      noted: 'none',
      watched: hasUnsettledCrash(this.table, fingerprint) ? 'held' : 'alone',
      refused: 'refused',
    };
    return {
      kind: kinds[findStage(this.table, fingerprint, now)],
      refusedMs: computeRemainingRefusalMs(suspect, now),
    };
  }

  /** Lists the requests that are watched or refused. */
  listSuspects(): readonly SuspectRecord[] {
    return listSuspects(this.table, this.parts.clock.now());
  }

  /** Writes changed suspects to disk; writes are rate-limited. */
  save(): void {
    const { suspectCache, clock } = this.parts;
    if (this.table.revision === FIRST_REVISION) return;
    suspectCache.saveIfChanged(`${this.leaderList.heldVersion.suspectsEpoch}/${this.table.revision}`, clock.now(), () => this.listSuspects());
  }

  /** Applies the list in a watch reply of the leader on a follower. */
  applyReply(reply: WatchReply): void {
    if (!this.leaderList.apply(reply, this.parts.clock.now())) return;
    this.table = makeCrashTable();
    this.table.revision = reply.suspectsRevision;
    this.restore(reply.suspects);
  }

  /** Whether a cached suspect is missing here, so that its requests are not restricted. */
  needsSuspect({ fingerprint, refusedMs }: SuspectRecord): boolean {
    const isNotedPart = isPartKey(fingerprint) && refusedMs === 0;
    if (isNotedPart && this.table.suspects.has(fingerprint)) return false;
    return findStage(this.table, fingerprint, this.parts.clock.now()) === 'noted';
  }

  /** Adds suspects that another replica cached across a restart and that are missing here. */
  recover(records: readonly SuspectRecord[]): void {
    const missing = records.filter((record) => this.needsSuspect(record));
    if (missing.length === 0) return;
    this.restore(missing);
    this.table.revision += 1;
    this.parts.watches.releaseWithin(computeUpdateDelayMs(this.parts.countEntries()));
    this.parts.logger.info('suspects recovered', { count: missing.length });
  }

  /** Whether a client has an old version of this leader's list; false for another leader's. */
  hasUpdates({ suspectsEpoch, suspectsRevision }: WatchRequest, epoch: string): boolean {
    return suspectsEpoch === epoch && suspectsRevision !== this.table.revision;
  }

  /** Builds the suspect list for a client; empty if the client has the current version. */
  buildPart({ suspectsEpoch, suspectsRevision }: WatchRequest, epoch: string): SuspectPart {
    const { revision } = this.table;
    const isSame = suspectsEpoch === epoch && suspectsRevision === revision;
    return { suspectsRevision: revision, suspects: isSame ? [] : [...this.listSuspects()] };
  }

  private reportChanges(changes: readonly StageChange[]): void {
    const { clock, logger, watches } = this.parts;
    const now = clock.now();
    changes.forEach(({ kind, suspect }) => logger.info(`suspect ${kind}`, {
      fingerprint: suspect.fingerprint,
      weight: Number(computeSuspectWeight(suspect).toFixed(2)),
      servers: [...suspect.servers].join(' '),
      refusedMs: computeRemainingRefusalMs(suspect, now),
    }));
    if (changes.length > 0) watches.releaseWithin(computeUpdateDelayMs(this.parts.countEntries()));
  }

  private restore(records: readonly SuspectRecord[]): void {
    const now = this.parts.clock.now();
    records.forEach((record) => adoptSuspect(this.table, record, now));
  }
}
