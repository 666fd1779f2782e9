/** Weight of one proof in the smoothed share. */
const SMOOTHING = 0.25;
/** Share of cut streams from which servers of a service are not believed. */
const DISTRUST_SHARE = 0.2;
/** Time without a cut stream after which they are believed again, in milliseconds. */
const FORGET_MS = 60_000;

interface CutShare {
  share: number;
  cutAt: number;
}

/**
 * Learns how many of the streams whose connection was closed turned out to be cut off, by service.
 * Where it is many, a stream whose end nobody proves does not count as complete.
 *
 * @example
 * shares.record('rooms', true, clock.now());
 * shares.hasManyCuts('rooms', clock.now()); // true
 */
export class CutShares {
  private readonly byService = new Map<string, CutShare>();

  /** Records what another server told about the end of a stream. */
  record(service: string, wasCut: boolean, now: number): void {
    const { share, cutAt } = this.byService.get(service) ?? { share: 0, cutAt: -Infinity };
    this.byService.set(service, {
      share: share + SMOOTHING * ((wasCut ? 1 : 0) - share),
      cutAt: wasCut ? now : cutAt,
    });
  }

  /** Whether streams of a service that seem complete were often cut off lately. */
  hasManyCuts(service: string, now: number): boolean {
    const known = this.byService.get(service);
    return known !== undefined
      && known.share >= DISTRUST_SHARE
      && now - known.cutAt < FORGET_MS;
  }
}
