/** Calls and streams that a control replica serves for entries and for the other replicas. */
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import type {
  AnnounceBatch, AnnounceReply, AnnounceResults, ConfirmReply, HubDecisions, HubNews, LogMessage,
  MeetReply, MeetRequest, PlaceDecisions, PlaceNews, PublishReply, PublishRequest, StepCount,
  WatchReply, WatchRequest, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import { systemClock } from '../utils/clock';
import { handleStream, handleUnary } from '../wire/rpcServer';
import type { FailureListener } from '../wire/rpcServer';
import { AnnouncementReceiver } from './announcementReceiver';
import type { PlacementHub } from './placementHub';
import type { RoutedNode } from './routedNode';
import type { SeedFounding } from './seedFounding';
import { StepReceiver } from './stepReceiver';
import { TrunkReceiver } from './trunkReceiver';

/** Refers to the node, which exists once the initial voters are known. */
export interface NodeReference { node: RoutedNode | undefined }

/**
 * Returns the node; throws while the initial voters are not known.
 *
 * @example
 * const node = requireNode(nodeReference);
 */
export const requireNode = ({ node }: NodeReference): RoutedNode => {
  if (!node) throw new BeechliftError('starting', 'this replica is still looking for the other replicas');
  return node;
};

const makeFailureListener = (logger: Logger): FailureListener => ({ message: reason }) => {
  logger.error('message could not be processed, closing its stream', { reason });
};

/** What the handlers of a control replica need. */
export interface SiteServiceParts {
  readonly nodeReference: NodeReference;
  readonly founding: Pick<SeedFounding, 'answer'>;
  readonly hub: PlacementHub;
  readonly logger: Logger;
}

/**
 * Makes the handlers of the calls and streams that a control replica serves.
 *
 * @example
 * server.add(SiteService, makeSiteService({ nodeReference, founding, hub, logger }));
 */
export const makeSiteService = ({
  nodeReference, founding, hub, logger,
}: SiteServiceParts) => ({
  watch: handleUnary<WatchRequest, WatchReply>((request, { onCancel }) => {
    let isCancelled = false;
    onCancel(() => {
      isCancelled = true;
    });
    return requireNode(nodeReference).watch(request, () => isCancelled);
  }),
  keepWatch: handleStream<WatchRequest, WatchReply>((stream) => {
    // Looked up when the stream opens: an error here ends the stream, not the process.
    const node = requireNode(nodeReference);
    let isClosed = false;
    stream.listen({
      take: (request) => {
        const answered = node.watch(request, () => isClosed);
        answered.then((reply) => stream.send(reply)).catch((thrown: unknown) => {
          logger.error('watch request failed', { entry: request.entryId, reason: toBeechliftError(thrown).message });
          stream.end(); // The client then tries another replica.
        });
      },
      close: () => {
        isClosed = true;
      },
    });
  }, makeFailureListener(logger)),
  publish: handleUnary<PublishRequest, PublishReply>(
    (request) => requireNode(nodeReference).publish(request),
  ),
  announce: handleUnary<WorkerAnnouncement, AnnounceReply>(
    (announcement) => requireNode(nodeReference).announce(announcement, true),
  ),
  keepAnnouncing: handleStream<AnnounceBatch, AnnounceResults>((stream) => {
    const node = requireNode(nodeReference);
    stream.listen(new AnnouncementReceiver({
      stream,
      announce: (announcement) => node.announce(announcement, true),
      countRefusal: (thrown, workerId) => (
        node.announcementValidator.countRefusal(thrown, workerId)),
    }));
  }, makeFailureListener(logger)),
  place: handleStream<PlaceNews, PlaceDecisions>(
    (stream) => stream.listen(hub.serve(stream)),
    makeFailureListener(logger),
  ),
  placeForMany: handleStream<HubNews, HubDecisions>((stream) => {
    const node = requireNode(nodeReference);
    stream.listen(new TrunkReceiver({
      stream, openStream: (sink) => node.openPlacementStream(sink), clock: systemClock, logger,
    }));
  }, makeFailureListener(logger)),
  confirm: handleUnary<object, ConfirmReply>(() => requireNode(nodeReference).confirm()),
  keepStepping: handleStream<LogMessage, StepCount>(
    // A replica that is starting drops messages; the log resends lost ones.
    (stream) => stream.listen(new StepReceiver(stream, (message) => {
      nodeReference.node?.step(message);
    })),
    makeFailureListener(logger),
  ),
  meet: handleUnary<MeetRequest, MeetReply>((request) => (
    nodeReference.node?.meet(request) ?? founding.answer(request))),
});
