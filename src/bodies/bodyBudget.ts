/** A body that is being received or kept, and the bytes that it holds. */
export interface BodyShare {
  /** Takes bytes for what arrives next; returns whether the body may grow by them. */
  readonly reserve: (bytes: number) => boolean;
  /** Records that the body is complete: it is kept until it is released. */
  readonly complete: () => void;
  /** Gives all bytes back. */
  readonly release: () => void;
}

interface TrackedBody {
  bytes: number;
  isComplete: boolean;
  /** Ends the body; its bytes are free already. */
  readonly evict: () => void;
}

/** Bodies of up to this size may use the whole budget, in bytes. */
const SMALL_BODY_BYTES = 65_536;
/** Share of the budget that larger bodies may use: ordinary ones still fit beside them. */
const LARGE_BODY_SHARE = 0.75;

const findLargest = (bodies: Iterable<TrackedBody>): TrackedBody | undefined => (
  [...bodies].reduce<TrackedBody | undefined>((largest, body) => (
    !body.isComplete && body.bytes > (largest?.bytes ?? 0) ? body : largest), undefined));

/**
 * Bounds the bytes of all bodies that a process holds at the same time. Each body has a limit of
 * its own, but many of them together would use up the memory of the machine.
 *
 * If a body does not fit, the largest one that is incomplete gives way, the oldest first among
 * equals: it may be one that never ends. A body that holds all the bytes there are may always grow,
 * so a single one within its limit is received whatever the budget is.
 *
 * @example
 * const share = budget.open(() => refuse('queueFull'));
 * if (!share.reserve(chunk.length)) refuse('queueFull');
 */
export class BodyBudget {
  private readonly bodies = new Set<TrackedBody>();

  private used = 0;

  constructor(private readonly maxBytes: number) {}

  /** Bytes that all bodies hold. */
  get usedBytes(): number {
    return this.used;
  }

  /** Adds a body. */
  open(evict: () => void): BodyShare {
    const body: TrackedBody = { bytes: 0, isComplete: false, evict };
    this.bodies.add(body);
    return {
      reserve: (bytes) => this.reserve(body, bytes),
      complete: () => {
        body.isComplete = true;
      },
      release: () => this.release(body),
    };
  }

  private reserve(body: TrackedBody, bytes: number): boolean {
    if (!this.bodies.has(body)) return false;
    while (!this.canGrow(body, bytes)) {
      const largest = findLargest(this.bodies);
      if (!largest || largest === body || largest.bytes <= body.bytes) return false;
      this.release(largest);
      largest.evict();
    }
    body.bytes += bytes;
    this.used += bytes;
    return true;
  }

  private canGrow(body: TrackedBody, bytes: number): boolean {
    const share = body.bytes + bytes > SMALL_BODY_BYTES ? LARGE_BODY_SHARE : 1;
    return this.used === body.bytes || this.used + bytes <= share * this.maxBytes;
  }

  private release(body: TrackedBody): void {
    if (!this.bodies.delete(body)) return;
    this.used -= body.bytes;
    body.bytes = 0;
  }
}
