import type { PeerServer } from '../../protocol/generated/beechlift';
import type { HopTracer } from '../../telemetry/tracing';
import { handleUnary } from '../../wire/rpcServer';
import type { Configuration } from '../inForce/configuration';
import type { Scheduler } from '../choosing/scheduler';

/**
 * Builds the RPC service that an entry offers to other entries; it only maps messages to calls.
 *
 * @example
 * server.add(PeerService, makePeerService(scheduler, configuration, tracer));
 */
export const makePeerService = (
  scheduler: Scheduler,
  configuration: Configuration,
  tracer: HopTracer,
): PeerServer => ({
  ask: handleUnary(async (request, { headers, onCancel }) => {
    const { span } = tracer.startHop('owner', tracer.readContext(headers), { pool: request.pool, queue: 'here' });
    try {
      return await scheduler.handleAsk(request, onCancel);
    } finally {
      span.end();
    }
  }),
  report: handleUnary((request) => {
    scheduler.handleReport(request);
    return {};
  }),
  register: handleUnary((request) => {
    scheduler.handleRegister(request);
    return {};
  }),
  forwardAnnouncement: handleUnary(async (request) => {
    await scheduler.handleForwardedAnnouncement(request);
    return {};
  }),
  readProof: handleUnary((request) => (
    configuration.buildProof(request.manifestDigest, request.viewNumber))),
});
