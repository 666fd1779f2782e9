/** What callers, servers and processes of a run record; times are monotonic milliseconds. */
import type { ProcessEnd } from '../fakes/platformSite';
import type { PlannedRequest } from './soakPlan';

/** One run of a request at a server; it begins with the first event of the answer. */
export interface ServerRun {
  readonly id: string;
  readonly startedAt: number;
  /** When the whole answer was written, or the connection was closed. */
  endedAt: number | undefined;
}

/** One request of a caller and what came of it. */
export interface Attempt {
  readonly id: string;
  readonly request: PlannedRequest;
  /** Name of the entry's process. */
  readonly entry: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 without an answer. */
  readonly status: number;
  readonly body: string;
  /** Why the answer is not complete, as far as its caller can tell; empty if it is. */
  readonly reason: string;
}

/** One planned stop of an entry. */
export interface EntryStop {
  readonly name: string;
  /** When it got the first SIGTERM. */
  readonly at: number;
  /** Whether it listened by then; before, it may have no handler of signals. */
  readonly hadStarted: boolean;
  readonly endedAt?: number;
  readonly end?: ProcessEnd;
  /** Lines that the process wrote from the signal to its end. */
  readonly lines: string[];
}

const TOKENS_PER_EVENT = 2;

/** Counts the events of a stream. */
export const countEvents = ({ outputTokens }: Pick<PlannedRequest, 'outputTokens'>): number => (
  Math.ceil(outputTokens / TOKENS_PER_EVENT));

/** Formats an event of a stream. */
export const formatEvent = (id: string, number: number, count: number): string => (
  `id: ${number}\ndata: ${id} ${number}/${count}\n\n`);

/** Formats the whole body of a stream. */
export const formatStream = (id: string, count: number): string => (
  Array.from({ length: count }, (unused, index) => formatEvent(id, index + 1, count)).join(''));

/** Formats the body of a plain answer. */
export const formatPlain = (id: string): string => `done ${id}`;
