import type {
  Announcement, AskReply, AskRequest, RegisterRequest, ReportRequest,
} from '../../protocol/generated/beechlift';
import { BeechliftError } from '../../errors/beechliftError';
import { resultCodes } from '../../errors/resultCodes';
import { handleScheduleEvent } from '../../core/schedule/poolSchedule';
import { GRANT_MS } from '../../core/schedule/grantSystem';
import type {
  ScheduleEffect, ScheduleEvent, ScheduleTables,
} from '../../core/schedule/scheduleTypes';
import type { Clock } from '../../utils/clock';
import { makeMovedReply } from './movedReply';

type EffectOf<Kind extends ScheduleEffect['kind']> = Extract<ScheduleEffect, { kind: Kind }>;

type Decision = EffectOf<'grant' | 'refuse'>;

/** An order that the owner decided on. */
export type OrderEffect = EffectOf<'order'>;

const toReply: { [Kind in Decision['kind']]: (effect: EffectOf<Kind>) => AskReply } = {
  grant: (effect) => ({
    code: 0,
    retryAfterMs: 0,
    workerId: effect.workerId,
    workerAddress: effect.workerAddress,
    workerIncarnation: effect.workerIncarnation,
    grantMs: GRANT_MS,
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

const dropReport = (ask: AskRequest): ReportRequest => ({
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

/** A question that is not answered yet. */
interface OpenAsk {
  readonly askNumber: number;
  readonly resolve: (reply: AskReply) => void;
}

/**
 * Owns one pool: the queue before it and the slots in it. Knows nothing of the wire.
 *
 * @example
 * const owner = new PoolOwner(tables, systemClock, (order) => sender.send(order));
 * const reply = await owner.ask(request);
 */
export class PoolOwner {
  private readonly open = new Map<string, OpenAsk>();

  constructor(
    readonly tables: ScheduleTables,
    private readonly clock: Clock,
    private readonly sendOrder: (order: OrderEffect) => void,
  ) {}

  /**
   * Waits for a slot; resolves when the request is granted or refused. An entry that lost the
   * connection asks again with a higher number: the newest question alone is waited on.
   */
  ask(ask: AskRequest): Promise<AskReply> {
    const { requestId, askNumber } = ask;
    const before = this.open.get(requestId);
    const askedAnew = makeMovedReply(`request "${requestId}" was asked for again since`);
    if (before && before.askNumber > askNumber) return Promise.resolve(askedAnew);
    before?.resolve(askedAnew);
    return new Promise((resolve) => {
      this.open.set(requestId, { askNumber, resolve });
      this.run({ kind: 'ask', ask });
    });
  }

  /**
   * Takes a request out that its entry gave up; a grant that crossed it on the way is taken back.
   *
   * Guards a question that was asked again against the late end of the call before it, which stands
   * for the earlier number only.
   */
  drop(ask: AskRequest): void {
    const open = this.open.get(ask.requestId);
    if (open?.askNumber === ask.askNumber) this.open.delete(ask.requestId);
    this.run({ kind: 'report', report: dropReport(ask) });
  }

  /** Notes how a granted request goes. */
  report(report: ReportRequest): void {
    this.run({ kind: 'report', report });
  }

  /** Notes all that an entry runs. */
  register(register: RegisterRequest): void {
    this.run({ kind: 'register', register });
  }

  /** Notes what a backend server says of itself. */
  announce(announcement: Announcement): void {
    const { workers, config, pool } = this.tables;
    const { workersPerPool } = config.limits;
    if (!workers.has(announcement.id) && workers.size >= workersPerPool) {
      throw new BeechliftError('tooManyBackends', `pool "${pool}" has ${workers.size} backend servers, at most ${workersPerPool} are taken`);
    }
    this.run({ kind: 'announce', announcement });
  }

  /** Runs an event and answers whoever it decides on. */
  run(event: ScheduleEvent): void {
    handleScheduleEvent(this.tables, event, this.clock.now())
      .forEach((effect) => {
        if (effect.kind === 'order') this.sendOrder(effect);
        else this.answer(effect);
      });
  }

  /** Answers all that wait, when another entry owns the pool. */
  close(): void {
    const all = [...this.open.values()];
    this.open.clear();
    const moved = makeMovedReply(`another entry VM owns pool "${this.tables.pool}"`);
    all.forEach(({ resolve }) => resolve(moved));
  }

  private answer(effect: Decision): void {
    const open = this.open.get(effect.requestId);
    this.open.delete(effect.requestId);
    open?.resolve(buildReply(effect));
  }
}
