type MachineEvent = | 'sync' | 'compact' | 'kill' | 'stop' | 'remove' | 'restartBusy' | 'cutPower' | 'dropDisk' | 'freeze' | 'start';

/** An event on one machine or on the whole site. */
export type SiteEvent = | { readonly kind: 'advance'; readonly ms: number }
  | { readonly kind: 'round'; readonly ms: number; readonly count: number }
  | { readonly kind: 'deliver' | 'lose'; readonly pick: number }
  | { readonly kind: MachineEvent; readonly machine: number }
  | { readonly kind: 'publish' | 'cutPowerOfAll' | 'killAll' | 'startAll' };

/** Last fault of a run, on the machines that keep their disk. */
export type LastFault = 'killAll' | 'cutPower' | 'nothing';

/** Size of a site. */
export interface SiteSize {
  readonly machines: number;
  /** Number of disks whose simultaneous loss the site tolerates. */
  readonly losses: number;
}
