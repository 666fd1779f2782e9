import { join } from 'node:path';
import { makeEmptyLog } from '../core/log/logState';
import { makeMechanisms } from '../core/routing/mechanisms';
import type { Mechanism } from '../core/routing/mechanisms';
import { nodeFileSystem } from '../disk/fileSystem';
import { LogStore } from '../disk/logStore';
import {
  SiteClient, SiteService, SuspectRecord, WorkerRecord,
} from '../protocol/generated/beechlift';
import type {
  ConfirmReply, LogMessage, MeetReply, MeetRequest, PublishReply, PublishRequest, Replica,
  WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import type { RoutingReader } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import { PROCESS_START, SuspensionDetector, systemClock } from '../utils/clock';
import { Operation } from '../utils/operation';
import { LinkTable } from '../wire/linkTable';
import { toPeerError } from '../wire/peerError';
import { RpcServer } from '../wire/rpcServer';
import { AnnouncementStream } from './announcementStream';
import { FollowLoop } from './followLoop';
import { PlacementHub } from './placementHub';
import { ReplicaIdentity } from './replicaIdentity';
import { computeLeaseMs } from './entryLease';
import type { LeaseBounds } from './entryLease';
import { RecordCache } from './recordCache';
import { RoutedNode, TICK_MS } from './routedNode';
import type { RoutedPort } from './routedNodeParts';
import { SeedFounding } from './seedFounding';
import { makeSiteService, requireNode } from './siteService';
import type { NodeReference } from './siteService';
import { StepStream } from './stepStream';
import { HANDOVER_TIMEOUT_MS } from './voteHandover';

const MEET_TIMEOUT_MS = 400;
const PUBLISH_TIMEOUT_MS = 3_000;
const CONFIRM_TIMEOUT_MS = 800;
/** Interval at which a replica without a leader searches for the site, in milliseconds. */
const DISCOVERY_INTERVAL_MS = 400;

/** Settings of a routed control process. */
export interface RoutedControlSettings {
  readonly zone: string;
  /** IP address and port on which it serves gRPC for the other replicas and the entries. */
  readonly address: string;
  /** gRPC addresses of the founding replicas, or of replicas of the existing site. */
  readonly readSeeds: () => readonly string[];
  readonly isFirstStart: boolean;
  readonly dataFolder: string;
  readonly bounds: LeaseBounds;
  readonly voterCount: number;
  /** What accounts may use beyond their limits, summed over all entries. */
  readonly limitSlack: number;
  /** Mechanisms to turn off, for experiments; deployments leave all on. */
  readonly mechanismsOff?: readonly Mechanism[];
}

/** Dependencies of a routed control process. */
export interface RoutedControlParts {
  readonly settings: RoutedControlSettings;
  readonly readRouting: RoutingReader;
  readonly logger: Logger;
  /** Called when the disk fails: the process must end and cast no more votes. */
  readonly failStorage: (error: unknown) => void;
}

/** A running routed control process. */
export interface RunningRoutedControl {
  readonly node: RoutedNode;
  /** Gives the vote of the replica to a standby; it serves as before until then. */
  readonly prepareStop: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

type Links = LinkTable<SiteClient>;

const callSite = <Request, Reply>(
  links: Links,
  address: string,
  method: keyof SiteClient,
  request: Request,
  timeoutMs: number,
): Promise<Reply> => links.find(address).call<Request, Reply>(
  (stub) => (stub[method] as (...args: unknown[]) => unknown).bind(stub) as never,
  request,
  new Operation({ timeoutMs }),
);

const makeStepSender = (links: Links): ((message: LogMessage, address: string) => void) => {
  const streams = new Map<string, StepStream>();
  return (message, address) => {
    const stream = streams.get(address) ?? new StepStream(links.find(address), systemClock);
    streams.set(address, stream);
    stream.send(message);
  };
};

const makeAnnouncementSender = (links: Links, logger: Logger): RoutedPort['announce'] => {
  const streams = new Map<string, AnnouncementStream>();
  return (announcement, address, mayWait) => {
    const stream = streams.get(address)
      ?? new AnnouncementStream({ link: links.find(address), clock: systemClock, logger });
    streams.set(address, stream);
    return stream.announce(announcement, mayWait);
  };
};

const callMeet = (
  links: Links,
  address: string,
  request: MeetRequest,
): Promise<MeetReply | undefined> => callSite<MeetRequest, MeetReply>(links, address, 'meet', request, MEET_TIMEOUT_MS)
  .catch(() => undefined); // Asked again later.

const discoverSite = (
  node: RoutedNode,
  links: Links,
  self: Replica,
  readSeeds: () => readonly string[],
): void => {
  if (!node.needsDiscovery) return;
  const addresses = new Set([...readSeeds(), ...node.replicaAddresses]);
  addresses.delete(self.address);
  const ask = async (address: string): Promise<string> => {
    const reply = await callMeet(links, address, { from: self, candidates: [] });
    if (reply?.self) node.addDiscovered(reply.self);
    return reply?.leaderAddress ?? '';
  };
  addresses.forEach((address) => {
    ask(address)
      .then((leader) => {
        const isUnknown = leader !== '' && leader !== self.address && !addresses.has(leader);
        return isUnknown ? ask(leader) : '';
      })
      .catch(() => undefined); // Retried at the next interval.
  });
};

const makeRecordCache = <Item>(
  folder: string,
  name: string,
  messageType: { readonly fromPartial: (record: Partial<Item>) => Item },
  logger: Logger,
): RecordCache<Item> => new RecordCache({
  files: nodeFileSystem, path: join(folder, name), parse: messageType.fromPartial, logger,
});

/** Lists the founders if the settings declare the first start and this replica is one of them. */
const listDeclaredSeeds = (
  { isFirstStart, address, readSeeds }: RoutedControlSettings,
): readonly string[] => {
  const seeds = readSeeds();
  return isFirstStart && seeds.includes(address) ? seeds : [];
};

/**
 * Starts a replica that serves control of a routed site.
 *
 * @example
 * const control = await startRoutedControl({ settings, readRouting, logger, failStorage });
 */
export const startRoutedControl = async (
  parts: RoutedControlParts,
): Promise<RunningRoutedControl> => {
  const { settings, logger } = parts;
  const links = new LinkTable(SiteClient);
  const identity = new ReplicaIdentity(nodeFileSystem, settings.dataFolder);
  await identity.open(listDeclaredSeeds(settings));
  const self: Replica = { id: identity.id, address: settings.address, zone: settings.zone };
  const nodeReference: NodeReference = { node: undefined };
  const metReplicas = new Map<string, Replica>();
  const founding = new SeedFounding({
    identity,
    self,
    readSeeds: settings.readSeeds,
    askReplica: (address, request) => callMeet(links, address, request),
    recordReplica: (replica) => {
      metReplicas.set(replica.address, replica);
      nodeReference.node?.addDiscovered(replica);
    },
    logger,
  });
  // Replicas bound each of their calls, and the leader detects entries that are gone, so slow pings
  // suffice.
  const server = new RpcServer('infrequent');
  const hub = new PlacementHub({
    links,
    openStream: (sink) => requireNode(nodeReference).openPlacementStream(sink),
    findDelegate: () => nodeReference.node?.delegate,
    address: settings.address,
    listReplicas: () => nodeReference.node?.replicaAddresses ?? [],
    clock: systemClock,
    logger,
  });
  server.add(SiteService, makeSiteService({
    nodeReference, founding, hub, logger,
  }));
  await server.listen(settings.address);
  const founders = await founding.waitForFounders();
  logger.info('initial voters determined', { birth: self.id, founders: founders.length });
  const store = new LogStore(nodeFileSystem, settings.dataFolder);
  const stored = await store.load(makeEmptyLog({ voters: founders, learners: [], leaving: [] }));
  const workerCache = makeRecordCache(settings.dataFolder, 'workers.log', WorkerRecord, logger);
  const suspectCache = makeRecordCache(settings.dataFolder, 'suspects.log', SuspectRecord, logger);
  const [cachedWorkers, cachedSuspects] = await Promise.all(
    [workerCache.load(), suspectCache.load()],
  );
  const node = new RoutedNode({
    self,
    founders,
    stored,
    store,
    cachedWorkers,
    workerCache,
    cachedSuspects,
    suspectCache,
    readRouting: parts.readRouting,
    port: {
      sendMessage: makeStepSender(links),
      publish: (request, address) => callSite<PublishRequest, PublishReply>(links, address, 'publish', request, PUBLISH_TIMEOUT_MS)
        .catch((thrown: unknown) => {
          throw toPeerError(thrown, 'noQuorum');
        }),
      announce: makeAnnouncementSender(links, logger),
      confirm: (address) => callSite<object, ConfirmReply>(links, address, 'confirm', {}, CONFIRM_TIMEOUT_MS)
        .catch((thrown: unknown) => {
          throw toPeerError(thrown, 'noQuorum');
        }),
      failStorage: parts.failStorage,
    },
    clock: systemClock,
    startedAt: PROCESS_START,
    suspension: new SuspensionDetector(),
    logger,
    leaseMs: computeLeaseMs(settings.bounds),
    voterCount: settings.voterCount,
    limitSlack: settings.limitSlack,
    mechanisms: makeMechanisms(settings.mechanismsOff),
  });
  nodeReference.node = node;
  metReplicas.forEach((replica) => node.addDiscovered(replica));
  const ticking = setInterval(() => node.tick(), TICK_MS);
  const discovering = setInterval(
    () => discoverSite(node, links, self, settings.readSeeds),
    DISCOVERY_INTERVAL_MS,
  );
  const followLoop = new FollowLoop({
    node,
    send: (address, request, timeoutMs) => callSite<WatchRequest, WatchReply>(links, address, 'watch', request, timeoutMs),
    logger,
  });
  followLoop.start();
  return {
    node,
    prepareStop: () => node.voteHandover.run(new Operation({ timeoutMs: HANDOVER_TIMEOUT_MS })),
    stop: async () => {
      clearInterval(ticking);
      clearInterval(discovering);
      followLoop.stop();
      server.close();
      links.close();
      await node.stop();
      await Promise.all([workerCache.close(), suspectCache.close()]);
      await identity.close();
    },
  };
};
