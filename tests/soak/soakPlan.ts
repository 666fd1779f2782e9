import fc from 'fast-check';

/** Kinds of requests; each has a route of its own. */
export type RequestKind = 'stream' | 'resumable' | 'once' | 'idempotent';

/** Manners in which callers use connections and the directory. */
export type CallerManner = 'kept' | 'followsFast' | 'followsSlowly' | 'fresh';

/** Control replicas of each site. */
export const REPLICAS = 3;
/** Number of requests that the callers of a run repeat. */
const REQUEST_COUNT = 24;
/** Disruptions begin within this time, in milliseconds. */
const DISRUPTED_MS = 10_000;
const DISRUPTION_KINDS = ['hangUp', 'restartControl', 'restartLeader', 'document', 'freezeEntry', 'freezeControl'] as const;
const DOCUMENT_CHANGES = ['none', 'shortTimeout', 'shortIdleLimit'] as const;

type Drawn<Drawing> = Drawing extends fc.Arbitrary<infer Item> ? Item : never;

/**
 * Everything at once. Pairs are bounds; `shares` are what a running request adds to the time
 * between the events of others, as parts of it.
 */
const mixed = {
  entries: [2, 6] as [number, number],
  graces: [8, 4],
  shares: [0.1, 0.2, 0.4],
  stops: [4, 9] as [number, number],
  callers: [15, 60] as [number, number],
  bursts: [0, 2] as [number, number],
  guests: [20, 60] as [number, number],
  thinksMs: [0, 0, 100, 800],
  kinds: ['stream', 'stream', 'resumable', 'once', 'idempotent'] as RequestKind[],
  manners: ['kept', 'kept', 'followsFast', 'followsSlowly', 'fresh'] as CallerManner[],
  limitsMs: [1_500, 3_000, 6_000, 12_000],
  tellsTokens: [true, true, false],
  bodyBytes: [40, 1_500, 20_000, 300_000],
};

type Mix = typeof mixed;

/** Streams on kept connections, whose estimates are good until a burst comes. */
const streaming: Mix = {
  entries: [2, 3],
  graces: [8],
  shares: [0.4],
  stops: [2, 4],
  callers: [20, 40],
  bursts: [1, 2],
  guests: [50, 80],
  thinksMs: [0],
  kinds: ['stream'],
  manners: ['kept'],
  limitsMs: [12_000],
  tellsTokens: [true],
  bodyBytes: [1_500],
};

/** How often each mix comes, in seven runs. */
const mixes = [
  { weight: 3, arbitrary: fc.constant(mixed) },
  { weight: 3, arbitrary: fc.constant(streaming) },
  { weight: 1, arbitrary: fc.constant({ ...mixed, entries: [10, 18] as [number, number] }) },
];

const drawBetween = (min: number, max: number) => fc.integer({ min, max });

const drawTime = drawBetween(0, DISRUPTED_MS);

const drawSome = <Item>(item: fc.Arbitrary<Item>, [min, max]: readonly [number, number]) => (
  fc.array(item, { minLength: min, maxLength: max, size: 'max' }));

/** A request that callers send again and again, each time under another id. */
const drawRequest = (mix: Mix) => fc.record({
  kind: fc.constantFrom(...mix.kinds),
  promptTokens: fc.constantFrom(40, 400, 1_800, 6_000),
  outputTokens: drawBetween(8, 130),
  tellsTokens: fc.constantFrom(...mix.tellsTokens),
  limitMs: fc.constantFrom(...mix.limitsMs),
  bodyBytes: fc.constantFrom(...mix.bodyBytes),
});

/** A caller begins with one of the run's requests; the next ones follow in order. */
const drawCaller = (mix: Mix) => fc.record({
  manner: fc.constantFrom(...mix.manners),
  first: fc.nat(REQUEST_COUNT - 1),
  thinkMs: fc.constantFrom(...mix.thinksMs),
});

const drawEngine = (share: number) => fc.record({
  eventMs: drawBetween(10, 22),
  share: fc.constant(share),
  slots: drawBetween(12, 16),
  slow: drawSome(
    fc.record({ at: drawTime, lastsMs: drawBetween(500, 4_000), factor: drawBetween(2, 4) }),
    [0, 1],
  ),
  /** Whether its answers have no length and end with their connection. */
  isCloseDelimited: fc.constantFrom(false, false, true),
});

/** SIGTERM to some entries; if it is repeated, again after a while. */
const drawStop = (entries: number) => fc.record({
  at: drawTime,
  isRepeated: fc.constantFrom(false, false, true),
  againMs: drawBetween(1_000, 3_000),
  entries: fc.uniqueArray(fc.nat(entries - 1), { minLength: 1, maxLength: Math.ceil(entries / 3) }),
});

/** Something else that happens; each kind uses what it needs. */
const drawDisruption = (entries: number) => fc.record({
  kind: fc.constantFrom(...DISRUPTION_KINDS),
  at: drawTime,
  lastsMs: drawBetween(100, 500),
  entry: fc.nat(entries - 1),
  replica: drawBetween(1, REPLICAS),
  signal: fc.constantFrom('SIGTERM' as const, 'SIGKILL' as const),
  change: fc.constantFrom(...DOCUMENT_CHANGES),
});

/** Callers that come shortly after a signal, when estimates of the time of answers matter. */
const drawBurst = (stops: readonly { readonly at: number }[], mix: Mix) => fc.record({
  at: fc.tuple(fc.constantFrom(...stops), drawBetween(1_500, 4_000)).map(([{ at }, ms]) => at + ms),
  lastsMs: drawBetween(2_000, 6_000),
  callers: drawSome(drawCaller({ ...mix, thinksMs: [0] }), mix.guests),
});

const drawSite = (mix: Mix, entries: number, share: number) => (
  drawSome(drawStop(entries), mix.stops).chain((stops) => fc.record({
    entries: fc.constant(entries),
    graceSeconds: fc.constantFrom(...mix.graces),
    restartMs: drawBetween(100, 1_500),
    engines: drawSome(drawEngine(share), [6, 8]),
    requests: drawSome(drawRequest(mix), [REQUEST_COUNT, REQUEST_COUNT]),
    callers: drawSome(drawCaller(mix), mix.callers),
    bursts: drawSome(drawBurst(stops, mix), mix.bursts),
    stops: fc.constant(stops),
    disruptions: drawSome(drawDisruption(entries), [0, 5]),
  })));

const drawPlans = fc.oneof(...mixes).chain((mix) => (
  fc.tuple(drawBetween(...mix.entries), fc.constantFrom(...mix.shares))
    .chain(([entries, share]) => drawSite(mix, entries, share))));

export type PlannedRequest = Drawn<ReturnType<typeof drawRequest>>;
export type PlannedCaller = Drawn<ReturnType<typeof drawCaller>>;
export type PlannedEngine = Drawn<ReturnType<typeof drawEngine>>;
export type Disruption = Drawn<ReturnType<typeof drawDisruption>>;
export type DisruptionKind = Disruption['kind'];
export type DocumentChange = Disruption['change'];

/** All that is decided before a run; its times count from when entries know the engines' pace. */
export type SoakPlan = Drawn<typeof drawPlans>;

/**
 * Draws the plan of a run; the same seed gives the same plan.
 *
 * @example
 * const plan = drawPlan(41);
 */
export const drawPlan = (seed: number): SoakPlan => {
  const [plan] = fc.sample(fc.noBias(drawPlans), { seed, numRuns: 1 });
  if (!plan) throw new Error(`no plan for seed ${seed}`);
  return plan;
};
