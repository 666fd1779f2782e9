/** Type of the content of a stream of events. */
export const EVENT_STREAM = /^text\/event-stream\b/i;

/** Ends of events in a stream: an empty line, whose line ends may be LF, CR LF or CR. */
export const EVENT_END = /\n\n|\n\r\n|\r\r/;

/** A line of an event. Comments, which servers send to keep a connection open, are no events. */
export const EVENT_LINE = /^[^:\r\n]/m;
