import { makeEmptyLog } from '../core/log/logState';
import { ClaimStore } from '../disk/claimStore';
import { nodeFileSystem } from '../disk/fileSystem';
import { LogStore } from '../disk/logStore';
import { ControlClient, ControlService } from '../protocol/generated/beechlift';
import type {
  FoundingReply, LogMessage, SubmitReply, SubmitRequest,
} from '../protocol/generated/beechlift';
import type { ControlSettings } from '../settings/settings';
import type { Logger } from '../telemetry/logger';
import { systemClock } from '../utils/clock';
import { Operation } from '../utils/operation';
import { LinkTable } from '../wire/linkTable';
import { toPeerError } from '../wire/peerError';
import { RpcServer } from '../wire/rpcServer';
import { ClaimHolder } from './claimHolder';
import { ControlNode } from './controlNode';
import { makeControlService, makeWaitingService } from './controlService';
import type { StartedService } from './controlService';
import { Founding } from './founding';
import { HolderCopier } from './holderCopier';

const TICK_MS = 25;
const SLOW_TICK_MS = 500;
const STEP_TIMEOUT_MS = 1_000;

/** A running control process. */
export interface RunningControl {
  readonly node: ControlNode;
  readonly holder: ClaimHolder;
  readonly address: string;
  readonly stop: () => Promise<void>;
}

/** Dependencies of a control process. */
export interface ControlParts {
  readonly settings: ControlSettings;
  readonly logger: Logger;
  /** Called when the disk fails: the process must end and cast no more votes. */
  readonly failStorage: (error: unknown) => void;
}

const sendStep = (links: LinkTable<ControlClient>, message: LogMessage, address: string): void => {
  links.find(address).call<LogMessage, object>(
    (stub) => stub.step.bind(stub) as never,
    message,
    new Operation({ timeoutMs: STEP_TIMEOUT_MS }),
  ).catch(() => undefined); // The log resends lost messages.
};

const forwardSubmit = (
  links: LinkTable<ControlClient>,
  request: SubmitRequest,
  address: string,
  operation: Operation,
): Promise<SubmitReply> => links.find(address)
  .call<SubmitRequest, SubmitReply>((stub) => stub.submit.bind(stub) as never, request, operation)
  .catch((thrown: unknown) => {
    throw toPeerError(thrown, 'noQuorum');
  });

const askFounding = (
  links: LinkTable<ControlClient>,
  address: string,
): Promise<FoundingReply> => links.find(address).call<object, FoundingReply>(
  (stub) => stub.readFounding.bind(stub),
  {},
  new Operation({ timeoutMs: STEP_TIMEOUT_MS }),
);

const loadNode = async (
  parts: ControlParts,
  links: LinkTable<ControlClient>,
): Promise<ControlNode> => {
  const { settings, logger } = parts;
  const store = new LogStore(nodeFileSystem, settings.dataFolder);
  const voters = settings.joining ? [] : [...settings.replicas];
  const stored = await store.load(makeEmptyLog({ voters, learners: [], leaving: [] }));
  return new ControlNode(settings, stored, store, {
    sendMessage: (message, address) => sendStep(links, message, address),
    forwardSubmit: (request, address, operation) => forwardSubmit(
      links,
      request,
      address,
      operation,
    ),
    failStorage: parts.failStorage,
  }, systemClock, logger);
};

const startTimers = (
  node: ControlNode,
  holder: ClaimHolder,
  copier: HolderCopier,
  fail: (error: unknown) => void,
): (() => void) => {
  const fast = setInterval(() => node.tick(), TICK_MS);
  const slow = setInterval(() => {
    const retention = node.site.manifest?.limits.claimRetentionMs;
    if (retention !== undefined) holder.bounds = { ...holder.bounds, retentionMs: retention };
    holder.expire().catch(fail);
    copier.tick().catch(fail);
  }, SLOW_TICK_MS);
  return () => {
    clearInterval(fast);
    clearInterval(slow);
  };
};

/**
 * Starts a control replica with its data folder.
 *
 * @example
 * const control = await startControl({ settings, logger, failStorage });
 */
export const startControl = async (parts: ControlParts): Promise<RunningControl> => {
  const { settings, logger } = parts;
  const links = new LinkTable(ControlClient);
  let node: ControlNode | undefined;
  const founding = new Founding({
    id: settings.id,
    replicas: settings.replicas,
    joining: settings.joining,
    files: nodeFileSystem,
    dataFolder: settings.dataFolder,
    askOther: (address) => askFounding(links, address),
  });
  const server = new RpcServer();
  let service: StartedService | undefined;
  server.add(ControlService, makeWaitingService(
    () => service,
    () => founding.read(node?.listVoterIds() ?? []),
  ));
  const address = await server.listen(settings.address);
  await founding.waitUntilAllowed();
  node = await loadNode(parts, links);
  const started = node;
  const claims = new ClaimStore(nodeFileSystem, settings.dataFolder);
  const holder = new ClaimHolder(claims, () => started.holders, systemClock, parts.failStorage);
  await holder.load();
  const copier = new HolderCopier({
    id: settings.id,
    readHolders: () => started.holders,
    readLeaderAddress: () => started.leaderAddress,
  }, holder, links, logger);
  service = makeControlService(started, holder);
  const stopTimers = startTimers(started, holder, copier, parts.failStorage);
  logger.info('control replica is listening', { address });
  return {
    node: started,
    holder,
    address,
    stop: async () => {
      stopTimers();
      server.close();
      links.close();
      await started.runner.stop();
      await holder.close();
    },
  };
};
