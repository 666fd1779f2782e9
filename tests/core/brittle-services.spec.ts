import { describe, expect, it } from 'vitest';
import { BrittleServices } from '../../src/core/routing/brittleServices';

describe('services whose servers are brittle', () => {
  it('should be known from an answer that says so, and forgotten after some time', () => {
    const services = new BrittleServices();
    expect(services.record('rooms', 5, 0, 10)).toBe(true);
    expect(services.record('rooms', 5, 10, 20)).toBe(false);
    expect(services.isBrittle('rooms', 30)).toBe(true);
    expect(services.isBrittle('halls', 30)).toBe(false);
    expect(services.isBrittle('rooms', 11_000)).toBe(false);
  });

  // Guards against ending it by the answer to a request that was sent before it began.
  it('should be forgotten once a later request is answered without it', () => {
    const services = new BrittleServices();
    services.record('rooms', 5, 0, 100);
    services.record('rooms', 0, 50, 200);
    expect(services.isBrittle('rooms', 200)).toBe(true);
    services.record('rooms', 0, 150, 250);
    expect(services.isBrittle('rooms', 250)).toBe(false);
  });
});
