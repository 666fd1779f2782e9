import { PlaceReply } from '../../src/protocol/generated/beechlift';
import type { PlacedReport, PlaceRequest } from '../../src/protocol/generated/beechlift';

/** A leader that grants slots at one server, to all requests but the first ones if it is silent. */
export class FixedLeader {
  readonly reports: PlacedReport[] = [];

  readonly avoided: string[][] = [];

  constructor(private readonly workerId: string, private readonly silentRequests = 0) {}

  async place({ avoided }: PlaceRequest): Promise<PlaceReply | undefined> {
    this.avoided.push(avoided);
    if (this.avoided.length <= this.silentRequests) return undefined;
    return PlaceReply.fromPartial({ workerId: this.workerId });
  }

  report(report: PlacedReport): void {
    this.reports.push(report);
  }
}
