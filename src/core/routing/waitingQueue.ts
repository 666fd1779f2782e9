import { compareOrder, computeOrderKey } from './placementOrder';
import type { OrderKey } from './placementOrder';
import type { SlotRequest } from './placementTables';
import type { RoutedWorkers } from './routedWorkers';

/** A request and its place in the order. */
interface QueuedRequest {
  readonly request: SlotRequest;
  key: OrderKey;
}

/** Returns the position behind all requests that go before a key, or at the same time. */
const findPosition = (queue: readonly QueuedRequest[], key: OrderKey): number => {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const other = queue[middle];
    if (other && compareOrder(other.key, key) <= 0) low = middle + 1;
    else high = middle;
  }
  return low;
};

/**
 * The requests that wait for a slot, in order for each service. What one message costs must not
 * grow with the queue: in a burst the leader would slow down with each request that waits, grant
 * slots later, and let the queue grow further.
 *
 * Lengths are estimated when a request is added, and again by `sort`.
 *
 * @example
 * const queue = new WaitingQueue(workers);
 * queue.set(request.id, request);
 * const next = queue.list(request.service)[0];
 */
export class WaitingQueue {
  private readonly byId = new Map<string, QueuedRequest>();

  private readonly byService = new Map<string, QueuedRequest[]>();

  constructor(private readonly workers: RoutedWorkers) {}

  /** Number of requests of all services. */
  get size(): number {
    return this.byId.size;
  }

  /** Services for which requests wait. */
  get services(): string[] {
    return [...this.byService.keys()];
  }

  /** Whether a request waits. */
  has(id: string): boolean {
    return this.byId.has(id);
  }

  /** Adds a request, in place of an earlier one of the same id. */
  set(id: string, request: SlotRequest): void {
    this.remove(id);
    const queued = { request, key: computeOrderKey(this.workers, request) };
    const queue = this.byService.get(request.service) ?? [];
    queue.splice(findPosition(queue, queued.key), 0, queued);
    this.byService.set(request.service, queue);
    this.byId.set(id, queued);
  }

  /** Removes a request, if it waits. */
  remove(id: string): void {
    const queued = this.byId.get(id);
    if (!queued) return;
    this.byId.delete(id);
    const { service } = queued.request;
    const queue = this.byService.get(service) ?? [];
    // Not looked for by its key: keys that are no numbers have no order.
    queue.splice(queue.indexOf(queued), 1);
    if (queue.length === 0) this.byService.delete(service);
  }

  /** All requests, in the order of their arrival. */
  listAll(): SlotRequest[] {
    return [...this.byId.values()].map(({ request }) => request);
  }

  /** Lists the requests for a service, next first. */
  list(service: string): SlotRequest[] {
    return (this.byService.get(service) ?? []).map(({ request }) => request);
  }

  /** Returns the request for a service at a position; undefined behind the last one. */
  get(service: string, position: number): SlotRequest | undefined {
    return this.byService.get(service)?.[position]?.request;
  }

  /** Sorts the given requests, next first. */
  order(requests: readonly SlotRequest[]): SlotRequest[] {
    return requests
      .map((request) => ({ request, key: this.findKey(request) }))
      .sort((a, b) => compareOrder(a.key, b.key))
      .map(({ request }) => request);
  }

  /** Counts the requests that get a slot of the same service before the given one. */
  countAhead(request: SlotRequest): number {
    const queue = this.byService.get(request.service) ?? [];
    return findPosition(queue, this.findKey(request)) - (this.byId.has(request.id) ? 1 : 0);
  }

  /** Sorts all requests by what is known of their services now. */
  sort(): void {
    this.byService.forEach((queue) => {
      queue.forEach((queued) => {
        queued.key = computeOrderKey(this.workers, queued.request);
      });
      queue.sort((a, b) => compareOrder(a.key, b.key));
    });
  }

  private findKey(request: SlotRequest): OrderKey {
    return this.byId.get(request.id)?.key ?? computeOrderKey(this.workers, request);
  }
}
