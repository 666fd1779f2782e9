import type { PlaceDecisions, PlaceNews, SiteClient } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { LinkTable } from '../wire/linkTable';
import type { ServerStream, StreamHandlers } from '../wire/rpcServer';
import { DelegatedStream } from './delegatedStream';
import { HubTrunk } from './hubTrunk';
import type { PlacementDelegate } from './placementDelegate';
import type { PlacementMessageHandlers, PlacementSink } from './placementStream';

/** Dependencies of a hub. */
export interface PlacementHubParts {
  readonly links: Pick<LinkTable<SiteClient>, 'find'>;
  /** Opens a placement stream at this replica; throws if it does not lead. */
  readonly openStream: (sink: PlacementSink) => PlacementMessageHandlers;
  /** Grants the slots of the servers that the leader lends; undefined while this replica starts. */
  readonly findDelegate: () => PlacementDelegate | undefined;
  /** Address of this replica. */
  readonly address: string;
  /** Lists the addresses of all replicas of the site. */
  readonly listReplicas: () => readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Serves the placement streams of entries: here if this replica leads, and otherwise as a delegate
 * of the leader that the entry names. What a delegate does not decide is passed on to the leader,
 * together with the messages of other entries.
 *
 * @example
 * stream.listen(hub.serve(stream));
 */
export class PlacementHub {
  private readonly trunks = new Map<string, HubTrunk>();

  constructor(private readonly parts: PlacementHubParts) {}

  /** Returns the handlers of an entry's stream, whose first message tells where it leads to. */
  serve(
    stream: Pick<ServerStream<PlaceNews, PlaceDecisions>, 'send' | 'end'>,
  ): StreamHandlers<PlaceNews> {
    let handlers: PlacementMessageHandlers | undefined;
    let isEnded = false;
    return {
      take: (message) => {
        if (isEnded) return;
        handlers ??= this.tryOpen(message.leaderAddress, stream);
        handlers?.take(message);
        isEnded = handlers === undefined;
        if (isEnded) stream.end();
      },
      close: () => handlers?.close(),
    };
  }

  private tryOpen(leader: string, sink: PlacementSink): PlacementMessageHandlers | undefined {
    const { address, listReplicas, openStream } = this.parts;
    if (leader !== '' && leader !== address) {
      return listReplicas().includes(leader) ? this.openDelegated(leader, sink) : undefined;
    }
    try {
      return openStream(sink);
    } catch {
      // This replica does not lead: the entry learns that from the end of its stream.
      return undefined;
    }
  }

  private openDelegated(leader: string, sink: PlacementSink): PlacementMessageHandlers | undefined {
    const delegate = this.parts.findDelegate();
    return delegate && new DelegatedStream({
      sink,
      delegate,
      openUpstream: (upstreamSink) => this.findTrunk(leader).open(upstreamSink),
      clock: this.parts.clock,
    });
  }

  private findTrunk(leader: string): HubTrunk {
    const { links, clock, logger } = this.parts;
    const trunk = this.trunks.get(leader)
      ?? new HubTrunk({ link: links.find(leader), clock, logger });
    this.trunks.set(leader, trunk);
    return trunk;
  }
}
