import type { Member } from '../../protocol/generated/beechlift';

/** Silence after which an entry counts as failed, in milliseconds. */
export const MEMBER_TIMEOUT_MS = 2_000;

/** What the leader has heard of an entry. */
export interface MemberHeartbeat {
  readonly member: Member;
  readonly lastSeenAt: number;
  readonly manifestVersion: number;
}

/** Entries by id, as the leader hears them. Not replicated: a new leader hears them anew. */
export type MemberTable = Map<string, MemberHeartbeat>;

const MAX_MEMBERS = 2_000;

/**
 * Notes a heartbeat.
 *
 * @example
 * noteMember(table, member, 7, clock.now());
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
 * Guards against throwing all entries out of the view because a new leader has not heard from them
 * yet: for one silence time after it took over, a member that it has not heard of stays as the old
 * view has it.
 */
const isAwaitingHeartbeat = (
  member: Member,
  table: MemberTable,
  leadingSince: number,
  now: number,
): boolean => !table.has(member.id) && now - leadingSince <= MEMBER_TIMEOUT_MS;

/**
 * Computes who should be in the view, or undefined when that is how it stands.
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
  const retained = current.filter((member) => isAwaitingHeartbeat(member, table, leadingSince, now));
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

/** Forgets entries that have been silent for long. */
export const removeStaleMembers = (table: MemberTable, now: number): void => {
  [...table.values()]
    .filter((heartbeat) => now - heartbeat.lastSeenAt > 10 * MEMBER_TIMEOUT_MS)
    .forEach(({ member }) => table.delete(member.id));
};
