import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { describe, expect, it } from 'vitest';

interface Role {
  readonly on: string;
  readonly share?: number;
  readonly count?: number;
}

/** VMs with a disk per availability zone, and how many of them may fail at once. */
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
   * Guards against too few control replicas. A site that must tolerate the loss of two VMs had one
   * replica in each of three zones. After the loss of two of them there is no leader, no change is
   * accepted, and entries stop serving after some seconds. A change that only these two have synced
   * is lost with their disks. Five replicas tolerate both.
   */
  it.each(DEPLOYMENTS)('should start enough control replicas for $losses losses of $zones', ({ zones, losses }) => {
    const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as { roles: Record<string, Role> };
    const control = roles.control as Role;
    const replicas = zones.reduce((sum, vms) => sum + countReplicas(control, vms), 0);
    expect(replicas).toBeGreaterThanOrEqual(2 * losses + 1);
    expect(replicas).toBeLessThanOrEqual(2 * losses + 2);
  });
});
