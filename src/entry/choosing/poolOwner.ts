import type {
  Announcement, AskReply, AskRequest, RegisterRequest, ReportRequest,
} from '../../protocol/generated/beechlift';
import { BeechliftError } from '../../errors/beechliftError';
import { resultCodes } from '../../errors/resultCodes';
import { handleScheduleEvent } from '../../core/schedule/poolSchedule';
import { GRANT_TIMEOUT_MS } from '../../core/schedule/grantSystem';
import type {
  ScheduleEffect, ScheduleEvent, ScheduleTables,
} from '../../core/schedule/scheduleTypes';
import type { Clock } from '../../utils/clock';
import { makeOwnerMovedReply } from './ownerMovedReply';

type EffectOf<Kind extends ScheduleEffect['kind']> = Extract<ScheduleEffect, { kind: Kind }>;

type Decision = EffectOf<'grant' | 'refuse'>;

/** An order that the owner's schedule produced. */
export type OrderEffect = EffectOf<'order'>;

const toReply: { [Kind in Decision['kind']]: (effect: EffectOf<Kind>) => AskReply } = {
  grant: (effect) => ({
    code: 0,
    retryAfterMs: 0,
    workerId: effect.workerId,
    workerAddress: effect.workerAddress,
    workerIncarnation: effect.workerIncarnation,
    grantMs: GRANT_TIMEOUT_MS,
    canResume: effect.canResume,
    message: '',
  }),
  refuse: (effect) => ({
    code: resultCodes[effect.code].number,
    retryAfterMs: effect.retryAfterMs,
    workerId: '',
    workerAddress: '',
    workerIncarnation: '',
    grantMs: 0,
    canResume: false,
    message: effect.message,
  }),
};

const buildReply = (effect: Decision): AskReply => (
  toReply[effect.kind] as (effect: Decision) => AskReply
)(effect);

const buildDropReport = (ask: AskRequest): ReportRequest => ({
  requestId: ask.requestId,
  entryId: ask.entryId,
  pool: ask.pool,
  phase: 'dropped',
  outcome: 'cancelled',
  firstTokenMs: 0,
  totalMs: 0,
  outputTokens: 0,
  askNumber: ask.askNumber,
});

/** A slot request that has not been answered yet. */
interface PendingAsk {
  readonly askNumber: number;
  readonly resolve: (reply: AskReply) => void;
}

/**
 * Owns one pool: its queue and its slots. Does no I/O.
 *
 * @example
 * const owner = new PoolOwner(tables, systemClock, (order) => sendOrder(pool, order));
 * const reply = await owner.ask(request);
 */
export class PoolOwner {
  private readonly pendingAsks = new Map<string, PendingAsk>();

  constructor(
    readonly tables: ScheduleTables,
    private readonly clock: Clock,
    private readonly sendOrder: (order: OrderEffect) => void,
  ) {}

  /**
   * Waits for a slot; resolves when the request is granted or refused. An entry that lost its
   * connection sends the slot request again with a higher number. Only the one with the highest
   * number stays pending.
   */
  ask(ask: AskRequest): Promise<AskReply> {
    const { requestId, askNumber } = ask;
    const previous = this.pendingAsks.get(requestId);
    const replacedReply = makeOwnerMovedReply(`request "${requestId}" was replaced by a newer slot request`);
    if (previous && previous.askNumber > askNumber) return Promise.resolve(replacedReply);
    previous?.resolve(replacedReply);
    return new Promise((resolve) => {
      this.pendingAsks.set(requestId, { askNumber, resolve });
      this.handleEvent({ kind: 'ask', ask });
    });
  }

  /**
   * Removes a request that its entry cancelled, and revokes a grant that was sent at the same time.
   *
   * The late cancellation of an earlier call must not remove a newer slot request with the same id,
   * so it applies to the ask number of that call only.
   */
  drop(ask: AskRequest): void {
    const pending = this.pendingAsks.get(ask.requestId);
    if (pending?.askNumber === ask.askNumber) this.pendingAsks.delete(ask.requestId);
    this.handleEvent({ kind: 'report', report: buildDropReport(ask) });
  }

  /** Applies a report on the progress of a granted request. */
  report(report: ReportRequest): void {
    this.handleEvent({ kind: 'report', report });
  }

  /** Applies the list of all requests that an entry runs. */
  register(register: RegisterRequest): void {
    this.handleEvent({ kind: 'register', register });
  }

  /** Applies the announcement of a backend server. */
  announce(announcement: Announcement): void {
    const { workers, config, pool } = this.tables;
    const { workersPerPool } = config.limits;
    if (!workers.has(announcement.id) && workers.size >= workersPerPool) {
      throw new BeechliftError('tooManyBackends', `pool "${pool}" has ${workers.size} backend servers, the limit is ${workersPerPool}`);
    }
    this.handleEvent({ kind: 'announce', announcement });
  }

  /** Handles an event, answers the requests that it grants or refuses, and sends its orders. */
  handleEvent(event: ScheduleEvent): void {
    handleScheduleEvent(this.tables, event, this.clock.now())
      .forEach((effect) => {
        if (effect.kind === 'order') this.sendOrder(effect);
        else this.answer(effect);
      });
  }

  /** Answers all pending slot requests, because another entry owns the pool now. */
  close(): void {
    const pendingAsks = [...this.pendingAsks.values()];
    this.pendingAsks.clear();
    const moved = makeOwnerMovedReply(`another entry VM owns pool "${this.tables.pool}"`);
    pendingAsks.forEach(({ resolve }) => resolve(moved));
  }

  private answer(effect: Decision): void {
    const pending = this.pendingAsks.get(effect.requestId);
    this.pendingAsks.delete(effect.requestId);
    pending?.resolve(buildReply(effect));
  }
}
