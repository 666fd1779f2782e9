/** Finds the software version at which a request must continue its stream. */
import type { RoutedWorkers } from './routedWorkers';
import type { StreamOrigin } from './streamOrigin';

/** A request as far as the version of its server depends on it. */
export interface OriginQuery {
  readonly service: string;
  /** Set if it is known which version began the stream that the request continues. */
  readonly origin?: StreamOrigin | undefined;
  /**
   * Attempt that began the stream which its caller takes up, empty if the caller named none;
   * undefined if the request begins a stream.
   */
  readonly resumedId?: string | undefined;
}

/**
 * `free`: any version may serve the request. `assumed`: nobody knows its stream, but there has been
 * only one version. `unknown`: none may serve it, as it may be the wrong one.
 */
export type OriginLookup = | { readonly kind: 'free' | 'unknown'; readonly origin?: undefined }
  | { readonly kind: 'known' | 'assumed'; readonly origin: StreamOrigin };

/** Where the origins of streams are known. */
export interface OriginSource {
  readonly find: (id: string, now: number) => StreamOrigin | undefined;
}

const listVersions = (
  { byService, versions }: RoutedWorkers,
  service: string,
  now: number,
): string[] => {
  const running = (byService.get(service) ?? [])
    .filter(({ standing }) => standing !== 'silent')
    .map(({ software }) => software);
  return versions.listRecent(service, running, now);
};

/**
 * Finds the version at which a request must be served. While all servers of a service have had one
 * version, that one began all streams, also those of which nobody knows.
 *
 * @example
 * const lookup = findOrigin(workers, origins, { service: 'rooms', resumedId: '9c41' }, now);
 */
export const findOrigin = (
  workers: RoutedWorkers,
  source: OriginSource,
  { service, origin, resumedId }: OriginQuery,
  now: number,
): OriginLookup => {
  if (origin) return { kind: 'known', origin };
  if (resumedId === undefined) return { kind: 'free' };
  const found = source.find(resumedId, now);
  if (found) return { kind: 'known', origin: found };
  const [software, ...others] = listVersions(workers, service, now);
  if (software === undefined || others.length > 0) return { kind: 'unknown' };
  return { kind: 'assumed', origin: { service, software } };
};
