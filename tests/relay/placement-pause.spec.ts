import { describe, expect, it } from 'vitest';
import { PlacementPause } from '../../src/relay/placementPause';

/** Measures how long a pause that begins now lasts, in milliseconds. */
const measurePause = (pause: PlacementPause, now: number): number => {
  pause.begin(now);
  const steps = Array.from({ length: 100 }, (unused, step) => 100 * step);
  return steps.findLast((ms) => pause.isActive(now + ms)) ?? 0;
};

describe('the pause of an entry whose leader is late', () => {
  // A full leader got a request and its cancellation from every entry twice a second, and the
  // callers waited a quarter of a second each time: it never caught up.
  it('should grow while the leader stays late, up to a bound', () => {
    const pause = new PlacementPause(() => 0);
    const lengths = [0, 10_000, 20_000, 30_000, 40_000].map((now) => measurePause(pause, now));
    expect(lengths).toEqual([300, 700, 1_500, 3_100, 3_100]);
  });

  it('should end a first one with any message of the leader', () => {
    const pause = new PlacementPause(() => 0);
    pause.begin(0);
    pause.recordMessage(50, false);
    expect(pause.isActive(60)).toBe(false);
  });

  it('should not end a later one with a message that comes late', () => {
    const pause = new PlacementPause(() => 0);
    pause.begin(0);
    pause.recordMessage(50, false);
    pause.begin(300);
    pause.recordMessage(350, false);
    expect(pause.isActive(400)).toBe(true);
  });

  it('should be short again once the leader has answered in time', () => {
    const pause = new PlacementPause(() => 0);
    [0, 1_000, 3_000].forEach((now) => pause.begin(now));
    pause.recordMessage(9_000, true);
    expect(measurePause(pause, 10_000)).toBe(300);
  });

  it('should be short again with another leader', () => {
    const pause = new PlacementPause(() => 0);
    [0, 1_000, 3_000].forEach((now) => pause.begin(now));
    pause.reset();
    expect(measurePause(pause, 10_000)).toBe(300);
  });

  it('should end at different times at different entries', () => {
    const [early, late] = [new PlacementPause(() => 0), new PlacementPause(() => 1)];
    [early, late].forEach((pause) => pause.begin(0));
    expect([early.isActive(500), late.isActive(500)]).toEqual([false, true]);
  });
});
