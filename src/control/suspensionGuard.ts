import type { Logger } from '../telemetry/logger';
import type { SuspensionDetector } from '../utils/clock';

/** Dependencies of the guard. */
export interface SuspensionGuardParts {
  readonly suspension: SuspensionDetector;
  readonly logger: Logger;
  /** Called once after each suspension. */
  readonly handleSuspension: () => void;
}

/**
 * Makes a replica renew its leases after a suspension of the VM: see the `suspended` event of the
 * log. It is asked before every answer that depends on a lease, because the first call after the VM
 * resumes may be handled before any tick.
 *
 * @example
 * guard.check();
 */
export class SuspensionGuard {
  private epoch: number;

  constructor(private readonly parts: SuspensionGuardParts) {
    this.epoch = parts.suspension.readEpoch();
  }

  /** Handles a suspension since the last call. */
  check(): void {
    const epoch = this.parts.suspension.readEpoch();
    if (epoch === this.epoch) return;
    this.epoch = epoch;
    this.parts.handleSuspension();
    this.parts.logger.warn('clocks diverged, possibly after a suspension: leases are renewed before use');
  }
}
