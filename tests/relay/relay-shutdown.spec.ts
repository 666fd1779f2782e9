import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { expect, it, vi } from 'vitest';
import { OpenRequests } from '../../src/relay/openRequests';
import { RelayShutdown } from '../../src/relay/relayShutdown';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';

const GRACE_MS = 3_000;
/** Longer than an entry that shuts down waits for another request. */
const RUN_MS = 600;

/** An answer that counts as written as soon as its request has run. */
const WRITTEN = {
  request: { socket: { destroyed: false } } as IncomingMessage,
  response: { writableFinished: true } as ServerResponse,
};

// Fault: a request that was accepted in the same turn of the event loop in which the previous one
// ended was neither awaited nor counted as new. It was refused with most of the grace period left.
it('should wait for a request that arrives as the entry becomes idle', async () => {
  const openRequests = new OpenRequests({ open: { inc: vi.fn(), dec: vi.fn() } as never });
  const request = { run: () => pause(RUN_MS), refuseForShutdown: vi.fn(), abortAnswer: vi.fn() };
  const waitIdle = openRequests.waitIdle.bind(openRequests);
  const serving: Promise<void>[] = [];
  vi.spyOn(openRequests, 'waitIdle').mockImplementationOnce(async (maxMs) => {
    await waitIdle(maxMs);
    serving.push(openRequests.serve(request, WRITTEN));
  });
  await new RelayShutdown({
    site: { leaving: { begin: () => undefined } },
    server: createServer(),
    openRequests,
    announceLeaving: async () => undefined,
    locateMs: 0,
    graceMs: GRACE_MS,
    clock: systemClock,
    logger: makeLogger('relay', 'silent'),
  }).run();
  expect(request.refuseForShutdown).not.toHaveBeenCalled();
  expect(request.abortAnswer).not.toHaveBeenCalled();
  await Promise.all(serving);
});
