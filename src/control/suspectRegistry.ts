import type {
  PlaceNews, SuspectRecord, WatchReply, WatchRequest, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import {
  computeRemainingRefusalMs, findStage, FIRST_REVISION, hasUnsettledCrash, makeCrashTable, formatIncarnation, recordCrash,
  recordServed, computeSuspectWeight,
} from '../core/quarantine/crashTable';
import type { StageChange, SuspectStage } from '../core/quarantine/crashTable';
import { expireSuspects, evaluateCrashes, recordAnnouncement } from '../core/quarantine/crashEvaluation';
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

/** How often what is old is forgotten, in milliseconds. */
const EXPIRE_MS = 1_000;

/** What the keeper needs. */
export interface SuspectRegistryParts {
  /** Requests that were suspected before a restart. */
  readonly rememberedSuspects: readonly SuspectRecord[];
  readonly suspectMemo: Pick<RecordCache<SuspectRecord>, 'note'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Questions that are held until there is news. */
  readonly watches: HeldCalls;
  /** Entries that ask. */
  readonly countEntries: () => number;
}

/** What a reply says of suspect requests. */
export type SuspectPart = Pick<WatchReply, 'suspects' | 'suspectsRevision'>;

/**
 * The requests that end backend servers, as one replica knows them: the leader hears of each end
 * and judges, the others follow its list, and all remember it over a restart.
 *
 * @example
 * keeper.take(news); // entries hear of whoever is refused from then on
 */
export class SuspectRegistry {
  private table = makeCrashTable();

  /** The leader's list, while this replica follows. */
  private readonly leaderList = new SuspectList();

  private lastExpiryAt = 0;

  constructor(private readonly parts: SuspectRegistryParts) {
    this.restore(parts.rememberedSuspects);
  }

  /** What this replica holds of the leader's list. */
  get heldVersion(): SuspectListVersion {
    return this.leaderList.heldVersion;
  }

  /** Takes in which servers ended under which requests, and which requests were served. */
  take({ sightings, served }: Pick<PlaceNews, 'sightings' | 'served'>): void {
    const now = this.parts.clock.now();
    sightings.forEach((sighting) => {
      const { fingerprint, ageMs } = sighting;
      recordCrash(this.table, fingerprint, formatIncarnation(sighting), now - ageMs, now);
    });
    this.announceChanges(served.flatMap((fingerprint) => recordServed(this.table, fingerprint, now)));
  }

  /** Notes that a server announced itself: one that goes on did not end. */
  noteAnnounced(announcement: WorkerAnnouncement): void {
    if (announcement.state === 'gone') return;
    const now = this.parts.clock.now();
    this.announceChanges(recordAnnouncement(this.table, formatIncarnation(announcement), announcement.sequence, now));
  }

  /** Judges what has come in, and forgets what is old. */
  evaluate(): void {
    const now = this.parts.clock.now();
    this.announceChanges(evaluateCrashes(this.table, now));
    if (now - this.lastExpiryAt < EXPIRE_MS) return;
    this.lastExpiryAt = now;
    this.announceChanges(expireSuspects(this.table, now));
  }

  /** Tells how a request that asks for a place is to be treated. */
  findCaution(fingerprint: string): PlacementRestriction {
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

  /** Requests that are watched or refused. */
  listSuspects(): readonly SuspectRecord[] {
    return listSuspects(this.table, this.parts.clock.now());
  }

  /** Writes what changed to the disk, now and then. */
  save(): void {
    const { suspectMemo, clock } = this.parts;
    if (this.table.revision === FIRST_REVISION) return;
    suspectMemo.note(`${this.leaderList.heldVersion.suspectsEpoch}/${this.table.revision}`, clock.now(), () => this.listSuspects());
  }

  /** Takes over what the leader told a replica that follows. */
  applyReply(reply: WatchReply): void {
    if (!this.leaderList.apply(reply, this.parts.clock.now())) return;
    this.table = makeCrashTable();
    this.table.revision = reply.suspectsRevision;
    this.restore(reply.suspects);
  }

  /** Whether a request that was suspected before a restart is treated here as any other. */
  needsSuspect({ fingerprint }: SuspectRecord): boolean {
    return findStage(this.table, fingerprint, this.parts.clock.now()) === 'noted';
  }

  /** Takes in what another replica remembered over a restart and this one did not. */
  recover(records: readonly SuspectRecord[]): void {
    const missing = records.filter((record) => this.needsSuspect(record));
    if (missing.length === 0) return;
    this.restore(missing);
    this.table.revision += 1;
    this.parts.watches.releaseWithin(computeUpdateDelayMs(this.parts.countEntries()));
    this.parts.logger.info('suspects recalled', { count: missing.length });
  }

  /** Whether an asker that holds a list of this leader lacks something. */
  hasUpdates({ suspectsEpoch, suspectsRevision }: WatchRequest, epoch: string): boolean {
    return suspectsEpoch === epoch && suspectsRevision !== this.table.revision;
  }

  /** What an asker lacks. */
  buildPart({ suspectsEpoch, suspectsRevision }: WatchRequest, epoch: string): SuspectPart {
    const { revision } = this.table;
    const isSame = suspectsEpoch === epoch && suspectsRevision === revision;
    return { suspectsRevision: revision, suspects: isSame ? [] : [...this.listSuspects()] };
  }

  private announceChanges(changes: readonly StageChange[]): void {
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
