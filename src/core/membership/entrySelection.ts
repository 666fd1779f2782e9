import type { Member } from '../../protocol/generated/beechlift';
import { rankByRendezvous } from '../../utils/rendezvous';

/** Lists the entry VMs of a view that may own pools: those that are not leaving. */
export const listActiveMembers = (members: readonly Member[]): Member[] => (
  members.filter(({ state }) => state === 'active')
);

/**
 * Finds the entry that owns a pool in a view.
 *
 * @example
 * const owner = findOwner(view.members, 'fast');
 */
export const findOwner = (members: readonly Member[], pool: string): Member | undefined => {
  const active = listActiveMembers(members);
  const [id] = rankByRendezvous(`pool:${pool}`, active.map((member) => member.id));
  return active.find((member) => member.id === id);
};

const MAX_ADDRESSES = 4;

/**
 * Ranks the entry VMs for a caller: those in the caller's availability zone first, then the others.
 * The order within each group depends on the client account, which distributes the accounts over
 * the entries. Leaving entries are excluded. Returns several entries, so that a caller has an
 * alternative when the first one fails.
 *
 * @example
 * rankEntries(view.members, 'kiosks', 'az-1');
 */
export const rankEntries = (
  members: readonly Member[],
  account: string,
  zone: string,
): Member[] => {
  const active = listActiveMembers(members);
  const byId = new Map(active.map((member) => [member.id, member]));
  const ranked = rankByRendezvous(`account:${account}`, active.map(({ id }) => id))
    .flatMap((id) => byId.get(id) ?? []);
  const sameZone = ranked.filter((member) => member.zone === zone);
  const otherZones = ranked.filter((member) => member.zone !== zone);
  return [...sameZone, ...otherZones].slice(0, MAX_ADDRESSES);
};
