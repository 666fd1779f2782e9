/**
 * Departures of backend servers as the replicas agreed on them. They are part of the replicated
 * state: once a server's word that it leaves is acknowledged, no change of leader forgets it.
 */
import { WorkerRecord } from '../../protocol/generated/beechlift';

/** Records of servers that are draining or gone, oldest first, by server id. */
export type Departures = ReadonlyMap<string, WorkerRecord>;

/** Departures of a site that has none yet. */
export const NO_DEPARTURES: Departures = new Map();

/** Bounds the replicated state; the oldest are dropped first. */
const MAX_DEPARTURES = 1_000;

const isSuperseded = ({ said, standing }: WorkerRecord, known: WorkerRecord): boolean => (
  known.said?.born === said?.born
  && (known.standing === 'gone' || (known.said?.sequence ?? 0) > (said?.sequence ?? 0))
  && standing !== 'gone'
);

/**
 * Adds a departure; returns the same departures if a later one of the same start is known.
 *
 * @example
 * departures = addDeparture(departures, { said, standing: 'draining', supersededStarts: [] });
 */
export const addDeparture = (departures: Departures, record: WorkerRecord): Departures => {
  const id = record.said?.workerId ?? '';
  const known = departures.get(id);
  if (id === '' || (known && isSuperseded(record, known))) return departures;
  const others = [...departures].filter(([otherId]) => otherId !== id);
  return new Map([...others, [id, record] as const].slice(-MAX_DEPARTURES));
};

/**
 * Parses the departures in a snapshot of the log; an earlier release wrote none.
 *
 * @example
 * departures = parseDepartures(snapshot.data);
 */
export const parseDepartures = (data: string): Departures => {
  if (data === '') return NO_DEPARTURES;
  const { departures = [] } = JSON.parse(data) as { readonly departures?: WorkerRecord[] };
  return departures.map(WorkerRecord.fromPartial).reduce(addDeparture, NO_DEPARTURES);
};
