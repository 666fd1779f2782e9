import { describe, expect, it } from 'vitest';
import { UsualPatience } from '../../src/core/routing/usualPatience';

describe('the usual patience of a route', () => {
  it('should tell callers that come back from those that ask first', () => {
    const usual = new UsualPatience();
    const first = Array.from({ length: 10 }, () => usual.note('r', 15_000));
    expect(new Set(first)).toEqual(new Set([false]));
    expect([usual.note('r', 11_200), usual.note('r', 14_990), usual.note('r', 15_000)])
      .toEqual([true, false, false]);
    expect(usual.note('other', 900)).toBe(false);
    expect(usual.note('r', undefined)).toBe(false);
  });

  // Some callers wait for longer than others: they must not make all others look as if they came
  // back.
  it('should go by most callers, not by the most patient', () => {
    const usual = new UsualPatience();
    const patient = Array.from({ length: 100 }, (unused, count) => (
      count % 25 === 0 ? 45_000 : 15_000));
    const told = patient.map((ms) => usual.note('r', ms));
    expect(told.slice(5)).not.toContain(true);
  });

  // The operator's callers were changed: the old time is forgotten, not held against them.
  it('should learn another time', () => {
    const usual = new UsualPatience();
    Array.from({ length: 1_000 }, () => usual.note('r', 15_000));
    Array.from({ length: 250 }, () => usual.note('r', 8_000));
    expect(usual.note('r', 8_000)).toBe(false);
  });
});
