import type { PlacedReport, PlaceNews, PlaceRequest } from '../protocol/generated/beechlift';
import { BegunStreams } from './begunStreams';
import { CrashRecords } from './crashRecords';

/** Most reports in one message; the oldest are dropped, and the leader expires their slots. */
const MAX_REPORTS = 2_000;

/** Fields of a message to the leader that tell what has happened since the last one. */
export type PlacementContent = Pick<
  PlaceNews,
  'requests' | 'reports' | 'sightings' | 'served' | 'origins'
>;

/**
 * What an entry has to say to the leader in its next message on placement.
 *
 * @example
 * outbox.addRequest(request);
 * if (!outbox.isEmpty) stream.write({ ...outbox.take(clock.now()), number });
 */
export class PlacementOutbox {
  readonly crashes = new CrashRecords();

  readonly streams = new BegunStreams();

  private requests: PlaceRequest[] = [];

  private reports: PlacedReport[] = [];

  /** Fingerprints of suspect requests that were served. */
  private served: string[] = [];

  /** Adds a slot request. */
  addRequest(request: PlaceRequest): void {
    this.requests.push(request);
  }

  /** Adds a report on the progress of a request. */
  addReport(report: PlacedReport): void {
    this.reports.push(report);
    if (this.reports.length > MAX_REPORTS) this.reports.shift();
  }

  /** Adds a suspect request that was served. */
  addServed(fingerprint: string): void {
    this.crashes.forget(fingerprint);
    this.served = [...this.served, fingerprint].slice(-MAX_REPORTS);
  }

  /** Replaces the slot requests. */
  setRequests(requests: readonly PlaceRequest[]): void {
    this.requests = [...requests];
  }

  /** Includes all that a leader must know which does not know this entry. */
  markUnreported(): void {
    this.crashes.markUnreported();
    this.streams.markUnreported();
  }

  /** Whether there is nothing to say. */
  get isEmpty(): boolean {
    const { requests, reports, served } = this;
    return requests.length + reports.length + served.length === 0
      && !this.crashes.hasUnreported
      && !this.streams.hasUnreported;
  }

  /** Takes out all that there is to say. */
  take(now: number): PlacementContent {
    const { requests, reports, served } = this;
    this.requests = [];
    this.reports = [];
    this.served = [];
    return {
      requests,
      reports,
      served,
      sightings: this.crashes.takeUnreported(now),
      origins: this.streams.takeUnreported(now),
    };
  }
}
