import type { Replica } from '../protocol/generated/beechlift';
import type { ReplicaSet } from '../core/log/logTypes';

/** Replicas that are remembered from looking for the site, at most. */
const MAX_DISCOVERED = 32;

/**
 * Where replicas are reached. One that joins knows nobody by its log yet, and has to answer the
 * leader from which it will learn it: it goes by whom it met while it looked for the site.
 *
 * @example
 * directory.find('c1', state.replicas)?.address;
 */
export class ReplicaDirectory {
  private readonly discovered = new Map<string, Replica>();

  constructor(private readonly founders: readonly Replica[]) {}

  /** Notes who answered while this replica looked for the site. */
  addDiscovered(replica: Replica): void {
    // One replica at an address: a birth that is gone is forgotten.
    this.discovered.forEach(({ address }, id) => {
      if (address === replica.address) this.discovered.delete(id);
    });
    if (this.discovered.size < MAX_DISCOVERED) this.discovered.set(replica.id, replica);
  }

  /** A replica by its birth. */
  find(id: string, { voters, learners }: ReplicaSet): Replica | undefined {
    return [...voters, ...learners, ...this.founders, ...this.discovered.values()]
      .find((replica) => replica.id === id);
  }
}
