import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import { DEFAULT_POLICY } from '../core/schedule/scheduleTables';
import type { PolicySettings } from '../core/schedule/scheduleTypes';
import { ControlClient, PeerClient, PeerService } from '../protocol/generated/beechlift';
import type { Member } from '../protocol/generated/beechlift';
import type { Manifest } from '../manifest/manifest';
import type { EntrySettings } from '../settings/settings';
import type { Logger } from '../telemetry/logger';
import { Metrics } from '../telemetry/metrics';
import { HopTracer } from '../telemetry/tracing';
import { systemClock } from '../utils/clock';
import { LinkTable } from '../wire/linkTable';
import { RpcServer } from '../wire/rpcServer';
import { ActiveTable } from './callers/activeTable';
import { CallerApi } from './callers/callerApi';
import { ClaimClient } from './sending/claimClient';
import { Configuration } from './inForce/configuration';
import { EngineClient } from './sending/engineClient';
import { Heartbeat } from './inForce/heartbeat';
import { ModelRunner } from './sending/modelRunner';
import { makePeerService } from './peers/peerService';
import { OrderSender } from './choosing/orderSender';
import { RetryBudget } from './sending/retryBudget';
import { Scheduler } from './choosing/scheduler';
import { ServiceRunner } from './sending/serviceRunner';
import { SlotClient } from './choosing/slotClient';

const TICK_INTERVAL_MS = 50;
const REGISTER_INTERVAL_MS = 2_000;
const DRAIN_POLL_INTERVAL_MS = 50;

/** State of an entry in the view: `leaving` while it shuts down, `gone` when it has finished. */
export type MemberState = 'active' | 'leaving' | 'gone';

/** A running entry process. */
export interface RunningEntry {
  readonly api: CallerApi;
  readonly configuration: Configuration;
  readonly scheduler: Scheduler;
  readonly peerAddress: string;
  /** Sets the address that callers use for this entry, once its HTTP server listens. */
  readonly setCallerAddress: (address: string) => void;
  /** Leaves the view, then waits until no new callers arrive and all answers are complete. */
  readonly drain: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Dependencies of an entry process. */
export interface EntryParts {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly policy?: PolicySettings;
}

const requireManifest = (configuration: Configuration): Manifest => {
  if (!configuration.manifest) throw new Error('no manifest is in force yet');
  return configuration.manifest;
};

/**
 * Starts an entry: its links, its scheduler and its heartbeat, but not its HTTP server.
 *
 * @example
 * const entry = await startEntry({ settings, logger });
 */
export const startEntry = async ({
  settings, logger, policy,
}: EntryParts): Promise<RunningEntry> => {
  const clock = systemClock;
  const incarnation = randomUUID();
  const tracer = new HopTracer(`entry/${settings.id}`, settings.traceFile);
  const metrics = new Metrics();
  const configuration = new Configuration(clock);
  const active = new ActiveTable();
  const budget = new RetryBudget();
  const engines = new EngineClient();
  const peers = new LinkTable(PeerClient);
  const control = new LinkTable(ControlClient);
  let { callerAddress, peerAddress } = settings;
  let state: MemberState = 'active';
  const readMember = (): Member => ({
    id: settings.id, incarnation, peerAddress, callerAddress, zone: settings.zone, state,
  });
  const heartbeat = new Heartbeat({
    configuration,
    controlAddresses: settings.control.map(({ address }) => address),
    control,
    peers,
    readMember,
    clock,
  });
  const scheduler = new Scheduler({
    id: settings.id,
    configuration,
    peers,
    clock,
    listRunning: () => active.listRunning(),
    orders: new OrderSender(metrics, logger),
    refreshView: () => heartbeat.sendLatestState(),
    policy: policy ?? DEFAULT_POLICY,
  });
  const claims = new ClaimClient(
    `${settings.id}:${incarnation}`,
    control,
    () => configuration.holders,
  );
  const slots = new SlotClient(
    settings.id,
    settings.zone,
    scheduler,
    active,
    tracer,
    () => configuration.viewNumber,
  );
  const runnerParts = {
    slots,
    tracer,
    clock,
    metrics,
    budget,
    readManifest: () => requireManifest(configuration),
    isServing: () => configuration.isServing,
  };
  const models = new ModelRunner({ ...runnerParts, engines });
  const services = new ServiceRunner(runnerParts);
  const api = new CallerApi({
    id: settings.id,
    zone: settings.zone,
    configuration,
    scheduler,
    claims,
    models,
    services,
    active,
    budget,
    metrics,
    tracer,
    logger,
    clock,
    isLeaving: () => state !== 'active',
  });
  const server = new RpcServer();
  server.add(PeerService, makePeerService(scheduler, configuration, tracer));
  peerAddress = await server.listen(settings.peerAddress);
  const timers = [
    setInterval(() => {
      heartbeat.send().catch(() => undefined);
    }, settings.heartbeatMs),
    setInterval(() => scheduler.tick(), TICK_INTERVAL_MS),
    setInterval(() => {
      scheduler.register().catch(() => undefined);
    }, REGISTER_INTERVAL_MS),
  ];
  const waitUntilIdle = async (deadline: number): Promise<void> => {
    if (active.size === 0 || clock.now() > deadline) return;
    await pause(DRAIN_POLL_INTERVAL_MS);
    await waitUntilIdle(deadline);
  };
  /*
   * Prevents aborted answers during shutdown. First, locate stops listing this entry. Callers with
   * a cached locate answer are served until that answer expires. Then open requests are finished.
   */
  const drain = async (): Promise<void> => {
    state = 'leaving';
    await heartbeat.sendLatestState();
    await pause(configuration.manifest?.limits.locateMs ?? 0);
    await waitUntilIdle(clock.now() + settings.drainMs);
    state = 'gone';
    await heartbeat.sendLatestState();
  };
  await heartbeat.send();
  logger.info('entry is listening', { peerAddress });
  return {
    api,
    configuration,
    scheduler,
    peerAddress,
    setCallerAddress: (address) => {
      callerAddress = address;
    },
    drain,
    stop: async () => {
      timers.forEach((timer) => clearInterval(timer));
      server.close();
      peers.close();
      control.close();
      await engines.close();
      await tracer.close();
    },
  };
};
