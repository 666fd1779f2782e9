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
  `software "${software}" of service "${service}" began the stream, and no such server accepts requests of this route`);

/** Explains why a stream cannot continue that nobody knows. */
export const ORIGIN_UNKNOWN = 'servers of several versions run, and it is not known which one began the stream';

/** Explains why a stream cannot continue although only one version is known. */
export const VERSIONS_UNCONFIRMED = 'it is not known which version began the stream, and no control leader has confirmed in time that there is only one';

/** Retry-After then, in milliseconds: the entry that began it may still report it. */
export const ORIGIN_UNKNOWN_RETRY_MS = 500;

/** Retry-After if no server of a version is left, in milliseconds: one may be about to restart. */
export const VERSION_GONE_RETRY_MS = 1_000;

/**
 * Whether any server of a service can continue a stream, now or once it has a free slot.
 *
 * @example
 * if (!hasOriginServer(workers, 'rooms', origin)) refuse('streamVersionGone');
 */
export const hasOriginServer = (
  { byService }: RoutedWorkers,
  service: string,
  origin: StreamOrigin,
): boolean => (byService.get(service) ?? [])
  .some((worker) => isReady(worker) && canContinue(worker, origin));
