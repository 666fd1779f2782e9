import { describe, expect, it } from 'vitest';
import { OpenMessages } from '../../src/relay/openMessages';

describe('messages that were not acknowledged', () => {
  // A leader that was 600 ms behind, but sent something all the time, passed for one in time.
  it('should tell the age of the oldest one, whatever was acknowledged before', () => {
    const messages = new OpenMessages();
    [0, 200, 400, 600].forEach((sentAt, position) => messages.add(position + 1, sentAt));
    expect(messages.acknowledge(2, 700)).toBe(500);
    expect(messages.measureOldest(700)).toBe(300);
  });

  it('should have no age once all are acknowledged', () => {
    const messages = new OpenMessages();
    messages.add(1, 0);
    messages.acknowledge(9, 100);
    expect(messages.measureOldest(5_000)).toBe(0);
  });

  // A sign of life is not an answer in time.
  it('should take an acknowledgement of nothing new for none', () => {
    const messages = new OpenMessages();
    messages.add(2, 0);
    expect(messages.acknowledge(1, 10)).toBe(Infinity);
    expect(messages.measureOldest(10)).toBe(10);
  });
});
