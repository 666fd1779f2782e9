import type { Member } from '../../protocol/generated/beechlift';

/** Time without a heartbeat after which an entry counts as failed, in milliseconds. */
export const MEMBER_TIMEOUT_MS = 2_000;

/** Last heartbeat of an entry, as received by the leader. */
export interface MemberHeartbeat {
  readonly member: Member;
  /** When it was received, monotonic milliseconds. */
  readonly lastSeenAt: number;
  readonly manifestVersion: number;
}

/** Last heartbeats by entry id. Not replicated: a new leader collects them again. */
export type MemberTable = Map<string, MemberHeartbeat>;

const MAX_MEMBERS = 2_000;

/**
 * Records a heartbeat. Heartbeats of further entries are ignored while the table is full.
 *
 * @example
 * recordHeartbeat(table, member, 7, clock.now());
 */
export const recordHeartbeat = (
  table: MemberTable,
  member: Member,
  manifestVersion: number,
  now: number,
): void => {
  if (!table.has(member.id) && table.size >= MAX_MEMBERS) return;
  table.set(member.id, { member, lastSeenAt: now, manifestVersion });
};

const isSame = (a: Member, b: Member): boolean => a.id === b.id
  && a.incarnation === b.incarnation
  && a.state === b.state
  && a.peerAddress === b.peerAddress
  && a.callerAddress === b.callerAddress
  && a.zone === b.zone;

const hasTimedOut = (
  heartbeat: MemberHeartbeat,
  now: number,
): boolean => now - heartbeat.lastSeenAt > MEMBER_TIMEOUT_MS;

/*
 * Guards against removing all entries from the view because a new leader has not received their
 * heartbeats yet: for one timeout after it became leader, a member without a heartbeat stays in the
 * view unchanged.
 */
const isAwaitingHeartbeat = (
  member: Member,
  table: MemberTable,
  leadingSince: number,
  now: number,
): boolean => !table.has(member.id) && now - leadingSince <= MEMBER_TIMEOUT_MS;

/**
 * Computes the members of the next view; undefined when they are unchanged.
 *
 * @param leadingSince when this replica became leader, monotonic milliseconds
 * @example
 * const members = computeMembers(site.members, table, leadingSince, clock.now());
 */
export const computeMembers = (
  current: readonly Member[],
  table: MemberTable,
  leadingSince: number,
  now: number,
): Member[] | undefined => {
  const retained = current.filter(
    (member) => isAwaitingHeartbeat(member, table, leadingSince, now),
  );
  const live = [...table.values()]
    .filter((item) => !hasTimedOut(item, now) && item.member.state !== 'gone')
    .map(({ member }) => member);
  const next = [...retained, ...live].sort((a, b) => (a.id < b.id ? -1 : 1));
  const same = next.length === current.length
    && next.every((member, position) => {
      const other = current[position];
      return other !== undefined && isSame(member, other);
    });
  return same ? undefined : next;
};

/** Removes entries without a heartbeat for ten timeouts. */
export const removeStaleMembers = (table: MemberTable, now: number): void => {
  [...table.values()]
    .filter((heartbeat) => now - heartbeat.lastSeenAt > 10 * MEMBER_TIMEOUT_MS)
    .forEach(({ member }) => table.delete(member.id));
};
