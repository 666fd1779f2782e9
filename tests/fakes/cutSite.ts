import type { Socket } from 'node:net';
import type { Route } from '../../src/manifest/routing';
import { systemClock } from '../../src/utils/clock';
import {
  classifyCut, listCuts, makeCutAnswers, writeCut,
} from './cutAnswers';
import type { CutAnswer, CutEnd } from './cutAnswers';
import { parseAnswer } from './parseAnswer';
import type { ParsedAnswer } from './parseAnswer';
import { RelayRig } from './relayRig';
import { makeRoute, makeRouting } from './routings';

const FIRST = 'id: 1\ndata: a\n\n';
const REST = 'id: 2\ndata: b\n\n';
const NEXT = 'the next answer';
const LATER_MS = 3;
const IDLE_MS = 2_000;
/** Most replays of cases in one run. */
const MAX_REPLAYS = 3;
const MISSING = 'a whole answer is missing';
/** Exchanges at a time: each may hold two of the twelve slots of the servers. */
const PARALLEL = 8;

/** What an entry is to withstand. */
export interface CutPlan {
  readonly route: Partial<Route>;
  /** How servers end the connection of a cut answer. */
  readonly end: CutEnd;
  /** Whether a first server sends an event and breaks off, and the answer of the second is cut. */
  readonly isContinued: boolean;
  /** Positions at which the connection ends later; at the others it ends at once. */
  readonly laterAt: 'even' | 'odd';
}

/** One exchange: which answer its server gives, and where that is cut. */
interface CutCase {
  readonly id: string;
  readonly answer: CutAnswer;
  readonly cut: number;
}

const endings: Readonly<Record<CutEnd, (socket: Socket) => void>> = {
  closed: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

/** The events behind the one that a request names as the last. */
const restBehind: Readonly<Record<string, string>> = { '': FIRST + REST, 1: REST, 2: '' };

const makeRequest = (id: string, more = ''): string => (
  `GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: ${id}\r\nx-key: k1\r\n${more}\r\n`);

const sendWhole = (socket: Socket, id: string, body: string): void => {
  socket.write(`HTTP/1.1 200 X\r\nx-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
};

const breakOffFirst = (socket: Socket, id: string): void => {
  socket.end(`HTTP/1.1 200 X\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n${FIRST.length.toString(16)}\r\n${FIRST}\r\n`);
};

/**
 * An entry before two servers that cut an answer off at each byte: of the first attempt, or of the
 * second if it continues a stream. Later attempts are answered whole.
 *
 * @example
 * expect(await new CutSite(plan).run()).toEqual([]);
 */
export class CutSite {
  /** Number of answers that were cut on a connection that had carried a whole one. */
  reusedCount = 0;

  readonly cases: readonly CutCase[];

  private replayCount = 0;

  private readonly casesById: Map<string, CutCase>;

  private readonly attempts = new Map<string, number>();

  private readonly used = new WeakSet<Socket>();

  constructor(private readonly plan: CutPlan) {
    this.cases = makeCutAnswers(plan.isContinued ? REST : FIRST + REST)
      .flatMap((answer) => listCuts(answer).map((cut) => ({ answer, cut })))
      .map((found, position) => ({ ...found, id: `c${String(position).padStart(7, '0')}` }));
    this.casesById = new Map(this.cases.map((found) => [found.id, found]));
  }

  /** Plays all cases, some at a time; returns what is wrong. */
  async run(): Promise<string[]> {
    const serve = (socket: Socket, request: string): void => this.answer(socket, request);
    const rig = await RelayRig.start(
      makeRouting({ routes: [makeRoute(this.plan.route)] }),
      [serve, serve],
    );
    const left = [...this.cases];
    const faults: string[] = [];
    const checkNext = async (): Promise<void> => {
      const found = left.pop();
      if (!found) return;
      faults.push(...await this.checkPlayed(rig, found));
      await checkNext();
    };
    await Promise.all(Array.from({ length: PARALLEL }, () => checkNext()));
    await rig.close();
    return faults;
  }

  private get mayRepeat(): boolean {
    return !this.plan.isContinued && this.plan.route.maxAttempts !== 1;
  }

  private answer(socket: Socket, request: string): void {
    const id = /x-id: (\w{8})/.exec(request)?.[1] ?? '';
    const attempt = (this.attempts.get(id) ?? 0) + 1;
    this.attempts.set(id, attempt);
    const found = this.casesById.get(id);
    const cutAttempt = this.plan.isContinued ? 2 : 1;
    if (!found) {
      this.used.add(socket);
      sendWhole(socket, id, NEXT);
    } else if (attempt < cutAttempt) breakOffFirst(socket, id);
    else if (attempt === cutAttempt) this.cutOff(socket, found);
    else sendWhole(socket, id, restBehind[/x-last: (\d*)/.exec(request)?.[1] ?? ''] ?? '');
  }

  private cutOff(socket: Socket, { id, answer, cut }: CutCase): void {
    if (this.used.has(socket)) this.reusedCount += 1;
    const { end, laterAt } = this.plan;
    socket.write(writeCut(answer, cut, id));
    if ((cut % 2 === 0) === (laterAt === 'even')) setTimeout(() => endings[end](socket), LATER_MS);
    else endings[end](socket);
  }

  /*
   * A cut behind the last byte leaves a whole answer, and its connection may carry the next request
   * when it ends. Such a request reaches no server, but is one of its attempts, which no case is
   * about. A case that only lacks an answer, and a send, is played again, a few times in a run: an
   * entry that gives up too early does so more often.
   */
  private async checkPlayed(rig: RelayRig, found: CutCase): Promise<string[]> {
    const faults = await this.check(rig, found);
    const lacksAnswer = faults.length === 1 && faults[0]?.includes(MISSING);
    const lacksSend = (this.attempts.get(found.id) ?? 0) < this.mostSends;
    if (!lacksAnswer || !lacksSend || this.replayCount === MAX_REPLAYS) return faults;
    this.replayCount += 1;
    const replay = { ...found, id: `r${this.replayCount}${found.id.slice(2)}` };
    this.casesById.set(replay.id, replay);
    return this.checkPlayed(rig, replay);
  }

  private get mostSends(): number {
    return this.mayRepeat || this.plan.isContinued ? 2 : 1;
  }

  /** Sends the request of a case and another one behind it, in one write. */
  private async check(rig: RelayRig, { id, answer, cut }: CutCase): Promise<string[]> {
    const nextId = `n${id.slice(0, 2)}${id.slice(3)}`;
    // Each case takes a retry, more than the budget of an entry holds.
    rig.site.retries.refund('rooms', systemClock.now());
    const text = await rig.send(makeRequest(id) + makeRequest(nextId, 'connection: close\r\n'), IDLE_MS);
    const bytes = Buffer.from(text, 'latin1');
    const first = parseAnswer(bytes);
    const next = first && parseAnswer(bytes.subarray(first.length));
    const result = classifyCut(answer, cut, this.plan.end, this.plan.route.kind === 'stream');
    const isProved = this.mayRepeat && this.plan.route.kind === 'stream';
    const isUnsized = answer.size === undefined && result === 'whole' && !isProved;
    const before = this.plan.isContinued ? FIRST : '';
    const body = isUnsized ? before + answer.body.slice(0, cut - answer.head.length) : FIRST + REST;
    const isWhole = first?.answer.status === 200;
    const faults: readonly [string, boolean][] = [
      ['a part is framed as whole', isWhole && first.answer.body !== body],
      ['a broken answer counts as whole', isWhole && result === 'part' && !this.mayRepeat],
      [MISSING, !isWhole && (result === 'whole' || this.mayRepeat)],
      ['the answer of another request', isWhole && first.answer.headers['x-id'] !== id],
      ['the next answer is wrong', first !== undefined && !this.isRightNext(next?.answer, nextId)],
      ['bytes behind the answers', first !== undefined && bytes.length !== first.length + (next?.length ?? 0)],
      ['sent too often', [id, nextId].some((sent) => (this.attempts.get(sent) ?? 0) > this.mostSends)],
    ];
    return faults.filter(([, isFault]) => isFault)
      .map(([fault]) => `${answer.name}, cut at ${cut}: ${fault}: ${JSON.stringify(text)}`);
  }

  /*
   * The next request may be sent over the connection of a whole answer, which ends only then: it is
   * answered with a failure if it may not be repeated.
   */
  private isRightNext(next: ParsedAnswer | undefined, id: string): boolean {
    if (next?.status === 200) return next.body === NEXT && next.headers['x-id'] === id;
    return next?.body.includes('outcomeUnknown') === true && this.plan.route.maxAttempts === 1;
  }
}
