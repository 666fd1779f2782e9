/** The software version that began a stream; only a server of the same version continues it. */
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { isReady } from './routedWorkers';

/** What began a stream. What servers of different versions write does not fit together. */
export interface StreamOrigin {
  readonly service: string;
  /** Version of its server's software; servers that announce none count as one version. */
  readonly software: string;
}

/** Returns the origin of a stream that a server begins. */
export const readOrigin = ({ service, software }: RoutedWorker): StreamOrigin => (
  { service, software });

/** Whether a server may continue a stream; any server may serve a request without an origin. */
export const canContinue = (
  { service, software }: Pick<RoutedWorker, 'service' | 'software'>,
  origin: StreamOrigin | undefined,
): boolean => !origin || (origin.service === service && origin.software === software);

/** Explains why a stream cannot continue. */
export const explainVersionGone = ({ service, software }: StreamOrigin): string => (
  `no server of service "${service}" with software "${software}", which began the stream, accepts requests`);

/** Retry-After if no server of a version is left, in milliseconds: one may be about to restart. */
export const VERSION_GONE_RETRY_MS = 1_000;

/**
 * Whether any server that accepts requests can continue a stream, now or once it has a free slot.
 *
 * @example
 * if (!hasOriginServer(workers, origin)) refuse('streamVersionGone');
 */
export const hasOriginServer = ({ byService }: RoutedWorkers, origin: StreamOrigin): boolean => (
  (byService.get(origin.service) ?? [])
    .some((worker) => isReady(worker) && canContinue(worker, origin)));
