/** How long a service counts as brittle after the last answer that said so, in milliseconds. */
const BRITTLE_MS = 10_000;

/**
 * Services whose backend servers have said that they fail if they must turn many requests away.
 *
 * For these no server may get more requests than it has slots. Entries that choose by themselves
 * cannot ensure that, so the leader places their requests.
 *
 * @example
 * services.record('rooms', 5, sentAt, now);
 * services.isBrittle('rooms', now); // true
 */
export class BrittleServices {
  /** When an answer last said so, by service, monotonic milliseconds. */
  private readonly heardAt = new Map<string, number>();

  /**
   * Records what an answer said. One that does not say so ends it only if its request was sent
   * after the last answer that did: earlier answers may still arrive.
   *
   * @param limit requests a second that the server may turn away; 0 if it names none
   * @param sentAt when the answered request was sent, monotonic milliseconds
   * @returns whether the service has become brittle
   */
  record(service: string, limit: number, sentAt: number, now: number): boolean {
    const wasBrittle = this.isBrittle(service, now);
    if (limit > 0) this.heardAt.set(service, now);
    else if (sentAt > (this.heardAt.get(service) ?? Infinity)) this.heardAt.delete(service);
    return limit > 0 && !wasBrittle;
  }

  /** Whether servers of a service are brittle. */
  isBrittle(service: string, now: number): boolean {
    const heardAt = this.heardAt.get(service);
    return heardAt !== undefined && now - heardAt < BRITTLE_MS;
  }
}
