import type { Replica } from '../protocol/generated/beechlift';
import { listReplicas } from '../core/log/logState';
import type { ReplicaSet } from '../core/log/logTypes';

/** Most discovered replicas that are stored. */
const MAX_DISCOVERED = 32;

/**
 * Addresses of replicas. The log of a joining replica names no other replica yet, but the replica
 * must answer the leader that sends it the log. So it also uses the replicas that it found while
 * searching for the site.
 *
 * @example
 * directory.find('c1', state.replicas)?.address;
 */
export class ReplicaDirectory {
  private readonly discovered = new Map<string, Replica>();

  constructor(private readonly founders: readonly Replica[]) {}

  /** Records a replica that answered while this one searched for the site. */
  addDiscovered(replica: Replica): void {
    // One replica per address: an earlier identity at the address lost its disk.
    this.discovered.forEach(({ address }, id) => {
      if (address === replica.address) this.discovered.delete(id);
    });
    if (this.discovered.size < MAX_DISCOVERED) this.discovered.set(replica.id, replica);
  }

  /** Finds a replica by id. */
  find(id: string, replicas: ReplicaSet): Replica | undefined {
    return [...listReplicas(replicas), ...this.founders, ...this.discovered.values()]
      .find((replica) => replica.id === id);
  }
}
