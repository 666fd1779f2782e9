import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';

/** Kinds of work that are measured separately. */
export const WORK_KINDS = ['watch', 'place', 'announce', 'step', 'tend'] as const;
export type WorkKind = typeof WORK_KINDS[number];

/** Total of one kind of work since the start. */
export interface WorkCount {
  readonly count: number;
  /** Elapsed milliseconds; includes time in which other processes used the CPU. */
  readonly ms: number;
}

/** Totals of all kinds of work. */
export type WorkCounts = Readonly<Record<WorkKind, WorkCount>>;

/** Interval at which a leader logs its work, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

const NO_WORK: WorkCount = { count: 0, ms: 0 };

const MICROSECONDS_PER_MS = 1_000;

/** Reads the processor time of this process since its start, in milliseconds. */
const readProcessorMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
};

const makeCounts = (count: (kind: WorkKind) => WorkCount): WorkCounts => (
  Object.fromEntries(WORK_KINDS.map((kind) => [kind, count(kind)])) as Record<WorkKind, WorkCount>
);

/**
 * Measures the work of a control replica by kind. The log of a leader with late replies then shows
 * that it is overloaded, and by which work.
 *
 * @example
 * const reply = meter.measure('watch', () => this.buildReply(request));
 */
export class WorkMeter {
  private readonly counts = new Map<WorkKind, WorkCount>();

  private loggedCounts = makeCounts(() => NO_WORK);

  /** Longest delay of the timer since the last log line, in milliseconds. */
  private mostLateMs = 0;

  /** Longest wait of a due watch reply for its turn since the last log line, in milliseconds. */
  private mostWatchWaitMs = 0;

  /** Watch replies since the last log line whose client had given up the request. */
  private unreadCount = 0;

  /** Most requests that waited for a slot at once since the last log line. */
  private mostWaiting = 0;

  /** Time in which the leader lease was held since the last log line, in milliseconds. */
  private leasedMs = 0;

  private loggedProcessorMs: number;

  private tickedAt: number;

  private loggedAt: number;

  /** @param tickMs interval at which `recordTick` is called, in milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly tickMs: number,
    private readonly readProcessor: () => number = readProcessorMs,
  ) {
    this.loggedProcessorMs = readProcessor();
    this.tickedAt = clock.now();
    this.loggedAt = this.tickedAt;
  }

  /** Runs a piece of work, counts it, and returns its result. */
  measure<Result>(kind: WorkKind, run: () => Result): Result {
    const startedAt = this.clock.now();
    try {
      return run();
    } finally {
      const { count, ms } = this.counts.get(kind) ?? NO_WORK;
      this.counts.set(kind, { count: count + 1, ms: ms + this.clock.now() - startedAt });
    }
  }

  /**
   * Records the delay of the timer, which equals the delay of all other work in the event loop, and
   * whether this replica holds the leader lease.
   */
  recordTick(holdsLease: boolean): void {
    const now = this.clock.now();
    if (holdsLease) this.leasedMs += now - this.tickedAt;
    this.mostLateMs = Math.max(this.mostLateMs, now - this.tickedAt - this.tickMs);
    this.tickedAt = now;
  }

  /**
   * Records how long a watch reply waited for its turn, and whether its client still waits for it.
   */
  recordWatchTurn(waitMs: number, isAbandoned: boolean): void {
    this.mostWatchWaitMs = Math.max(this.mostWatchWaitMs, waitMs);
    if (isAbandoned) this.unreadCount += 1;
  }

  /** Records how many requests wait for a slot. */
  recordWaiting(count: number): void {
    this.mostWaiting = Math.max(this.mostWaiting, count);
  }

  /** Returns the totals since the start. */
  read(): WorkCounts {
    return makeCounts((kind) => this.counts.get(kind) ?? NO_WORK);
  }

  /** Logs the work since the last log line, if the interval is over. */
  logCounts(): void {
    const now = this.clock.now();
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    const {
      loggedCounts, mostLateMs, mostWatchWaitMs, unreadCount, mostWaiting,
    } = this;
    const counts = this.read();
    const processorMs = this.readProcessor();
    const fields = WORK_KINDS.flatMap((kind): [string, number][] => [
      [`${kind}Count`, counts[kind].count - loggedCounts[kind].count],
      [`${kind}Ms`, Math.round(counts[kind].ms - loggedCounts[kind].ms)],
    ]);
    this.logger.info('work of the leader', {
      ...Object.fromEntries(fields),
      mostLateMs: Math.round(mostLateMs),
      mostWatchWaitMs: Math.round(mostWatchWaitMs),
      unreadCount,
      mostWaiting,
      processorMs: Math.round(processorMs - this.loggedProcessorMs),
      leasedMs: Math.round(this.leasedMs),
      elapsedMs: Math.round(now - this.loggedAt),
    });
    this.loggedCounts = counts;
    this.loggedAt = now;
    this.mostLateMs = 0;
    this.mostWatchWaitMs = 0;
    this.unreadCount = 0;
    this.mostWaiting = 0;
    this.leasedMs = 0;
    this.loggedProcessorMs = processorMs;
  }
}
