import type { SiteDocument } from '../core/routing/siteDocument';
import type { WorkerTable } from '../core/routing/workerTable';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import type { ResultCode } from '../errors/resultCodes';
import type { RoutingReader } from '../manifest/routing';
import type { WorkerAnnouncement } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';

/** Dependencies of the validator. */
export interface AnnouncementValidatorParts {
  readonly readSite: () => SiteDocument;
  readonly readTable: () => WorkerTable;
  readonly readRouting: RoutingReader;
  readonly logger: Logger;
}

/**
 * Rejects announcements that cannot be from a backend server of this site.
 *
 * An announcement for a service without a route could otherwise claim the address of a working
 * server, which would then be treated as deregistered.
 *
 * @example
 * validator.check(announcement); // throws 'unknownService'
 */
export class AnnouncementValidator {
  /** Counts of refused announcements since the start, by code. */
  readonly refusalCounts = new Map<ResultCode, number>();

  /** Services of the last checked document; `digest` is the digest of that document. */
  private services: ReadonlySet<string> = new Set();

  private digest = '';

  constructor(private readonly parts: AnnouncementValidatorParts) {}

  /** Throws for a service without a route, unless the server is already registered for it. */
  check(announcement: WorkerAnnouncement): void {
    const { readSite, readTable } = this.parts;
    const site = readSite();
    // Before the first document no service is known, but servers announce themselves already.
    if (announcement.state === 'gone' || site.version === 0n) return;
    if (
      readTable().workers.get(announcement.workerId)?.said.service === announcement.service
    ) return;
    if (this.listServices(site).has(announcement.service)) return;
    throw new BeechliftError('unknownService', `document ${site.version} has no route to service "${announcement.service.slice(0, 128)}"`);
  }

  /** Counts a refused announcement, and logs the reason. */
  countRefusal(thrown: unknown, workerId: string): void {
    const error = toBeechliftError(thrown);
    const count = (this.refusalCounts.get(error.code) ?? 0) + 1;
    this.refusalCounts.set(error.code, count);
    this.parts.logger.warn('announcement refused', {
      worker: workerId.slice(0, 128), code: error.number, reason: error.message, count,
    });
  }

  private listServices(site: SiteDocument): ReadonlySet<string> {
    if (site.digest !== this.digest) {
      const { routing } = this.parts.readRouting(site.document);
      this.services = new Set(routing?.services.map(({ name }) => name));
      this.digest = site.digest;
    }
    return this.services;
  }
}
