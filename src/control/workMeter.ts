import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';

/** Kinds of work whose time is told apart. */
export const WORK_KINDS = ['watch', 'place', 'announce', 'tend'] as const;
export type WorkKind = typeof WORK_KINDS[number];

/** What one kind of work came to since the start. */
export interface WorkCount {
  readonly count: number;
  /** Milliseconds in which it held the processor, what others took of it meanwhile included. */
  readonly ms: number;
}

/** All that a meter counted up to a moment. */
export type WorkCounts = Readonly<Record<WorkKind, WorkCount>>;

/** How often a leader tells what it worked on, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

const NOTHING: WorkCount = { count: 0, ms: 0 };

const makeCounts = (count: (kind: WorkKind) => WorkCount): WorkCounts => (
  Object.fromEntries(WORK_KINDS.map((kind) => [kind, count(kind)])) as Record<WorkKind, WorkCount>
);

/**
 * Counts what a control replica works on. It shows which work fills a leader whose answers come
 * late: of a leader without a free moment, its logs told neither that nor why.
 *
 * @example
 * const reply = meter.measure('watch', () => this.buildReply(request));
 */
export class WorkMeter {
  private readonly counts = new Map<WorkKind, WorkCount>();

  private loggedCounts = makeCounts(() => NOTHING);

  /** The latest that the loop came to its timer since it was last told, in milliseconds. */
  private mostLateMs = 0;

  private tickedAt: number;

  private loggedAt: number;

  /** @param tickMs how often `noteTick` is called, in milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly tickMs: number,
  ) {
    this.tickedAt = clock.now();
    this.loggedAt = this.tickedAt;
  }

  /** Runs a piece of work, counts it, and returns its result. */
  measure<Result>(kind: WorkKind, run: () => Result): Result {
    const startedAt = this.clock.now();
    try {
      return run();
    } finally {
      const { count, ms } = this.counts.get(kind) ?? NOTHING;
      this.counts.set(kind, { count: count + 1, ms: ms + this.clock.now() - startedAt });
    }
  }

  /** Notes how late the loop comes to its timer: the time for which all else waits, too. */
  recordTick(): void {
    const now = this.clock.now();
    this.mostLateMs = Math.max(this.mostLateMs, now - this.tickedAt - this.tickMs);
    this.tickedAt = now;
  }

  /** What was counted since the start. */
  read(): WorkCounts {
    return makeCounts((kind) => this.counts.get(kind) ?? NOTHING);
  }

  /** Writes a line on what came since the one before, if it is time. */
  logCounts(): void {
    const now = this.clock.now();
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    const { loggedCounts: loggedCounts, mostLateMs } = this;
    const counts = this.read();
    const fields = WORK_KINDS.flatMap((kind): [string, number][] => [
      [`${kind}Count`, counts[kind].count - loggedCounts[kind].count],
      [`${kind}Ms`, Math.round(counts[kind].ms - loggedCounts[kind].ms)],
    ]);
    this.logger.info('work of the leader', { ...Object.fromEntries(fields), mostLateMs: Math.round(mostLateMs) });
    this.loggedCounts = counts;
    this.loggedAt = now;
    this.mostLateMs = 0;
  }
}
