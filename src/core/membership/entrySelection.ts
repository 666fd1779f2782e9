import type { Member } from '../../protocol/generated/beechlift';
import { rankByRendezvous } from '../../utils/rendezvous';

/** Entry VMs of a view that may own pools: those that are not leaving. */
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
 * Ranks the entry VMs for a caller: own availability zone first, spread by client account, leaving
 * ones not at all. Several are named, so that a caller has where to go when the first is gone.
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
