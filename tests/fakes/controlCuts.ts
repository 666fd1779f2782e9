import type { RoutedNode } from '../../src/control/routedNode';
import type { PlacementMessageHandlers, PlacementSink } from '../../src/control/placementStream';
import type { ControlSite } from './controlSite';

/**
 * What is lost between an entry and a replica: everything, what the replica answers, or what it
 * answers to requests for slots.
 */
export type CutWay = 'both' | 'replies' | 'slots';

/** The network between the entries and the replicas of a site in one process, which tests cut. */
export class ControlCuts {
  /** By entry and position of the replica. */
  private readonly cuts = new Map<string, CutWay>();

  /** Ids of replicas that reach no other replica. */
  private readonly cutIds = new Set<string>();

  /** Whether followers get no copies of the leader's tables. */
  private areCopiesCut = false;

  constructor(private readonly control: ControlSite) {
    control.running.forEach(({ node }, position) => this.install(node, position));
  }

  /** Cuts an entry off from some replicas, all by default. */
  cutEntry(entryId: string, way: CutWay, positions = [...this.control.running.keys()]): void {
    positions.forEach((position) => this.cuts.set(`${entryId} ${position}`, way));
  }

  /** Ends all cuts of an entry. */
  join(entryId: string): void {
    [...this.cuts.keys()].filter((key) => key.startsWith(entryId))
      .forEach((key) => this.cuts.delete(key));
  }

  /** Cuts a replica off from all other replicas. */
  cutReplica(position: number): void {
    this.cutIds.add(this.control.findNode(position).runner.state.id);
  }

  /** Lets followers copy nothing more of the leader's tables; they go on to get its log. */
  cutCopies(): void {
    this.areCopiesCut = true;
  }

  private install(node: RoutedNode, position: number): void {
    const findCut = (entryId: string): CutWay | undefined => this.cuts.get(`${entryId} ${position}`);
    const watch = node.watch.bind(node);
    const openStream = node.openPlacementStream.bind(node);
    const step = node.step.bind(node);
    const { id } = node.runner.state;
    const isReplicaCut = (entryId: string): boolean => (
      entryId === '' && (this.areCopiesCut || this.cutIds.has(id)));
    const never = new Promise<never>(() => {});
    Object.assign(node, {
      watch: async (...[request, isAbandoned]: Parameters<RoutedNode['watch']>) => {
        const { entryId } = request;
        if (findCut(entryId) === 'both' || isReplicaCut(entryId)) return never;
        const reply = await watch(request, isAbandoned);
        const cut = findCut(entryId);
        return cut === 'both' || cut === 'replies' || isReplicaCut(entryId) ? never : reply;
      },
      openPlacementStream: (sink: PlacementSink): PlacementMessageHandlers => {
        let entryId = '';
        const { take, close } = openStream({
          send: (decisions) => {
            if (!findCut(entryId)) sink.send(decisions);
          },
          end: () => sink.end(),
        });
        return {
          take: (message) => {
            entryId = message.entryId || entryId;
            if (findCut(entryId) !== 'both') take(message);
          },
          close,
        };
      },
      step: (message: Parameters<RoutedNode['step']>[0]) => {
        if (!this.cutIds.has(id) && !this.cutIds.has(message.from)) step(message);
      },
    });
  }
}
