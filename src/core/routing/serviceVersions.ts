/**
 * How long a version counts after its last server was seen, in milliseconds: longer than streams
 * last, and as long as control keeps servers that are gone.
 */
const VERSION_RETENTION_MS = 300_000;
/** Most past versions that are kept for one service; the oldest are dropped. */
const MAX_PAST_VERSIONS = 64;

/**
 * The software versions that servers of a service had recently. While there is only one, any of its
 * servers can continue any stream.
 *
 * @example
 * versions.record('rooms', 'v1', clock.now());
 * versions.listRecent('rooms', ['v2'], clock.now()); // ['v1', 'v2']
 */
export class ServiceVersions {
  /** When a record of a server with this version arrived last, by service and version. */
  private readonly seenAt = new Map<string, Map<string, number>>();

  /** Records that a server of a version was reported, in whatever state. */
  record(service: string, software: string, now: number): void {
    const seen = this.seenAt.get(service) ?? new Map<string, number>();
    seen.delete(software);
    seen.set(software, now);
    if (seen.size > MAX_PAST_VERSIONS) seen.delete([...seen.keys()][0] ?? '');
    this.seenAt.set(service, seen);
  }

  /**
   * Lists the versions of a service now and in the recent past.
   *
   * @param running versions of its running servers
   */
  listRecent(service: string, running: readonly string[], now: number): string[] {
    const past = [...this.seenAt.get(service) ?? []]
      .filter(([, seenAt]) => now - seenAt <= VERSION_RETENTION_MS)
      .map(([software]) => software);
    return [...new Set([...past, ...running])];
  }
}
