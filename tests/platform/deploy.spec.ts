import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { describe, expect, it } from 'vitest';

interface Role {
  readonly on: string;
  readonly share?: number;
  readonly count?: number;
}

/** VMs with a disk by availability zone, and how many of them a site must bear to lose at once. */
const DEPLOYMENTS = [
  { zones: [2, 2, 1], losses: 1 },
  { zones: [2, 1, 1, 1], losses: 1 },
  { zones: [3, 3, 3], losses: 2 },
  { zones: [3, 2, 2, 2], losses: 2 },
];

const countReplicas = ({ share, count = 0 }: Role, vms: number): number => (
  share === undefined ? Math.min(count, vms) : Math.ceil(share * vms));

describe('the deploy file', () => {
  /*
   * A site that must bear the loss of two VMs had one control replica in each of three zones: with
   * two of them lost nobody leads, no change is accepted, and after some seconds no entry serves.
   * A change that two of three have synced is gone with their disks. Five replicas bear both.
   */
  it.each(DEPLOYMENTS)('should start enough control replicas for $losses losses of $zones', ({ zones, losses }) => {
    const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as { roles: Record<string, Role> };
    const control = roles.control as Role;
    const replicas = zones.reduce((sum, vms) => sum + countReplicas(control, vms), 0);
    expect(replicas).toBeGreaterThanOrEqual(2 * losses + 1);
    expect(replicas).toBeLessThanOrEqual(2 * losses + 2);
  });
});
