import type { Snapshot } from '../core/log/logTypes';
import { parseDepartures } from '../core/routing/departures';
import { applyDocument, parseSiteDocument, toStoredDocument } from '../core/routing/siteDocument';
import type { SiteDocument } from '../core/routing/siteDocument';
import { computeSha256 } from '../utils/canonicalJson';
import type { DepartureLog } from './departureLog';
import { decodeCommand, decodeDeparture } from './documentCommand';

/** Dependencies of the state machine. */
export interface SiteStateMachineParts {
  /** Data of the snapshot with which this replica started. */
  readonly data: string;
  readonly departures: Pick<DepartureLog, 'agreed' | 'apply' | 'reset'>;
  /** Called after a command that changed the document. */
  readonly handleDocument: () => void;
  /** Called after a snapshot was restored. */
  readonly handleRestore: () => void;
}

/**
 * What the log of a routed site replicates: the routing document, and which servers leave.
 *
 * @example
 * stateMachine.apply(command);
 * const { version } = stateMachine.site;
 */
export class SiteStateMachine {
  private document: SiteDocument;

  constructor(private readonly parts: SiteStateMachineParts) {
    this.document = parseSiteDocument(parts.data);
    parts.departures.reset(parseDepartures(parts.data));
  }

  /** The document that is in force. */
  get site(): SiteDocument {
    return this.document;
  }

  /** Applies a command of the log. */
  apply(text: string): true {
    const departure = decodeDeparture(text);
    if (departure) {
      this.parts.departures.apply(departure);
      return true;
    }
    const command = decodeCommand(text);
    const previous = this.document;
    this.document = applyDocument(previous, command, computeSha256(command.document));
    if (this.document !== previous) this.parts.handleDocument();
    return true;
  }

  /** Replaces all by the state of a snapshot. */
  restore({ data }: Snapshot): void {
    this.document = parseSiteDocument(data);
    this.parts.departures.reset(parseDepartures(data));
    this.parts.handleRestore();
  }

  /** Formats the data of a snapshot. */
  format(): string {
    return JSON.stringify({
      ...toStoredDocument(this.document), departures: [...this.parts.departures.agreed.values()],
    });
  }
}
