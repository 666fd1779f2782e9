/** Receives an answer event by event. */
export interface AnswerSink {
  /** Writes one event; resolves when the caller can receive the next one. */
  readonly deliver: (data: string) => Promise<void>;
  /** Ends the answer after its last event. */
  readonly end: () => Promise<void>;
}

interface Choice {
  readonly delta?: { readonly content?: string };
  readonly text?: string;
  readonly finish_reason?: string | null;
}

interface Chunk {
  readonly id?: string;
  readonly created?: number;
  readonly model?: string;
  readonly choices?: readonly Choice[];
  readonly usage?: unknown;
}

const joinText = (chunks: readonly Chunk[]): string => chunks
  .map(({ choices }) => choices?.[0]?.delta?.content ?? choices?.[0]?.text ?? '')
  .join('');

const findFinishReason = (chunks: readonly Chunk[]): string => (
  chunks.findLast(
    ({ choices }) => choices?.[0]?.finish_reason,
  )?.choices?.[0]?.finish_reason ?? 'stop'
);

const buildMessage = (isChat: boolean, text: string, finishReason: string): object => (isChat
  ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finishReason }
  : { index: 0, text, finish_reason: finishReason });

/**
 * Merges the events of a stream into one completion, for callers that did not request a stream.
 *
 * @example
 * const completion = foldEvents(events, true);
 */
export const foldEvents = (events: readonly string[], isChat: boolean): object => {
  const chunks = events.map((data) => JSON.parse(data) as Chunk);
  const [first] = chunks;
  const usage = chunks.findLast((chunk) => chunk.usage)?.usage;
  return {
    id: first?.id ?? '',
    object: isChat ? 'chat.completion' : 'text_completion',
    created: first?.created ?? 0,
    model: first?.model ?? '',
    choices: [buildMessage(isChat, joinText(chunks), findFinishReason(chunks))],
    ...(usage ? { usage } : {}),
  };
};

/** Whether an event contains generated text. The last events of a stream may contain none. */
export const hasToken = (data: string): boolean => {
  const { choices } = JSON.parse(data) as Chunk;
  return Boolean(choices?.[0]?.delta?.content ?? choices?.[0]?.text);
};
