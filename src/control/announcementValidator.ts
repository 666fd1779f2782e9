import type { SiteDocument } from '../core/routing/siteDocument';
import type { WorkerTable } from '../core/routing/workerTable';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import type { ResultCode } from '../errors/resultCodes';
import type { RoutingReader } from '../manifest/routing';
import type { WorkerAnnouncement } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';

/** What the gate needs. */
export interface AnnouncementValidatorParts {
  readonly readSite: () => SiteDocument;
  readonly readTable: () => WorkerTable;
  readonly readRouting: RoutingReader;
  readonly logger: Logger;
}

/**
 * Keeps out announcements that no backend server of this site sends.
 *
 * Guards good servers against another writer: an announcement for a service that is not routed
 * would otherwise take over the address of a server that works, which would then be taken for gone.
 *
 * @example
 * gate.check(said); // throws 'unknownService'
 */
export class AnnouncementValidator {
  /** Announcements that were refused since the start, by code. */
  readonly refusalCounts = new Map<ResultCode, number>();

  /** Services of the document that was last looked at, and its digest. */
  private services: ReadonlySet<string> = new Set();

  private digest = '';

  constructor(private readonly parts: AnnouncementValidatorParts) {}

  /** Throws for a service that the document in force does not route, but for a server's own. */
  check(announcement: WorkerAnnouncement): void {
    const { readSite, readTable } = this.parts;
    const site = readSite();
    // Before the first document no service is known, and servers announce themselves already.
    if (announcement.state === 'gone' || site.version === 0) return;
    if (readTable().workers.get(announcement.workerId)?.said.service === announcement.service) return;
    if (this.listServices(site).has(announcement.service)) return;
    throw new BeechliftError('unknownService', `document ${site.version} routes to no service "${announcement.service.slice(0, 128)}"`);
  }

  /** Counts an announcement that was refused, and says why. */
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
