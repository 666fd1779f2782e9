/**
 * What routing decisions rest on, each with a switch of its own, so that what one is worth can be
 * measured by switching it off. Deployments leave all of them on.
 */

/**
 * - `zoneAffinity`: a server in the entry's availability zone goes before one that is as good.
 * - `failureWeight`: servers that fail more often than their service are preferred less.
 * - `overrunGuard`: long answers are kept from servers that would not end them in time.
 * - `learntSpeeds`: servers are told apart by the time that a unit of work was seen to take.
 * - `sharedSlowness`: what other entries saw of a server's speed counts too.
 * - `suspension`: a server that a request did not reach is left alone for a while.
 * - `silence`: a server that begins no answer is suspended, and the request taken elsewhere.
 * - `leaderPlacing`: slots of model engines are given out in one place for all entries.
 * - `higherRanks`: a wait is estimated with the requests of higher ranks that arrive meanwhile.
 * - `patienceByRank`: lower ranks give up earlier.
 * - `shortestFirst`: of requests of one rank that wait, the shortest gets the next slot.
 * - `earlyRefusal`: what would wait too long is refused at once, not when its patience has ended.
 * - `resumption`: a stream whose server is lost goes on at another one.
 * - `leaseWait`: a request at an entry without a lease waits for it.
 */
export const MECHANISMS = [
  'zoneAffinity',
  'failureWeight',
  'overrunGuard',
  'learntSpeeds',
  'sharedSlowness',
  'suspension',
  'silence',
  'leaderPlacing',
  'higherRanks',
  'patienceByRank',
  'shortestFirst',
  'earlyRefusal',
  'resumption',
  'leaseWait',
] as const;

/** Name of a mechanism. */
export type Mechanism = typeof MECHANISMS[number];

/** Which mechanisms are on. */
export type Mechanisms = Readonly<Record<Mechanism, boolean>>;

/**
 * Makes the table of switches.
 *
 * @example
 * const mechanisms = makeMechanisms(['zoneAffinity']); // all on but one
 */
export const makeMechanisms = (off: readonly Mechanism[] = []): Mechanisms => (
  Object.fromEntries(MECHANISMS.map((name) => [name, !off.includes(name)])) as Mechanisms
);
