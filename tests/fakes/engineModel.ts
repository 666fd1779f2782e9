import { createHash } from 'node:crypto';

/** Speed and capacity of an engine. */
export interface EngineTraits {
  /** Prefill time of one prompt token that is not cached, in milliseconds. */
  readonly prefillMs: number;
  /** Decode time of one token of one stream, in milliseconds. */
  readonly decodeMs: number;
  readonly slots: number;
  /** Capacity of the prefix cache, in prefixes. */
  readonly cacheSize: number;
  /** Sends the first token at once and never slows down, so that a relay bench has no queue. */
  readonly isPrompt?: boolean;
}

/** Faults that a test can inject. */
export type EngineFault = 'none' | 'stall' | 'silent' | 'slow' | 'drop' | 'refuse';

/** State of a stream in the engine. */
export interface EngineStream {
  readonly id: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isChat: boolean;
  readonly model: string;
  readonly events: string[];
  done: boolean;
  cancelled: boolean;
  /** Number of prompt tokens that were prefilled for it. */
  prefilled: number;
  readonly listeners: Set<() => void>;
}

const CHARACTERS_PER_TOKEN = 4;
const PREFIX_TOKENS = [64, 256, 1_024, 4_096];
const BATCH_SLOWDOWN = 0.05;
const SLOW_FACTOR = 8;
const MAX_STORED_STREAMS = 5_000;

const hashText = (text: string): string => createHash('sha1').update(text).digest('base64url');

/** Makes the answer to a prompt; it differs between prompts, so that a mix-up is detected. */
export const makeExpectedText = (prompt: string, tokens: number): string => {
  const mark = hashText(prompt).slice(0, 6);
  return Array.from({ length: tokens }, (unused, position) => `${mark}:${position} `).join('');
};

/**
 * Model of an engine with continuous batching and one prefix cache. Each step admits at most one
 * waiting stream to a free slot, and then generates one token for each running stream.
 */
export class EngineModel {
  fault: EngineFault = 'none';

  readonly streams = new Map<string, EngineStream>();

  readonly cancelledIds = new Set<string>();

  /** Number of prompt tokens that were prefilled, without cached ones. */
  prefilledTokens = 0;

  /** Number of prompt tokens that were prefilled for streams that were cancelled. */
  wastedTokens = 0;

  private readonly waiting: EngineStream[] = [];

  private readonly running = new Set<EngineStream>();

  private readonly cache = new Map<string, true>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly traits: EngineTraits) {}

  /** Number of running and waiting requests. */
  get load(): number {
    return this.running.size + this.waiting.length;
  }

  /** Adds a stream. */
  add(stream: EngineStream): void {
    this.streams.set(stream.id, stream);
    const [oldest] = this.streams.keys();
    if (this.streams.size > MAX_STORED_STREAMS && oldest) this.streams.delete(oldest);
    if (this.traits.isPrompt) {
      this.running.add(stream);
      this.addEvent(stream);
      this.schedule(this.traits.decodeMs);
      return;
    }
    this.waiting.push(stream);
    this.schedule(0);
  }

  /** Cancels a stream; its id is rejected from now on. */
  cancel(id: string): 'neverSeen' | 'cancelled' | 'finished' {
    this.cancelledIds.add(id);
    const stream = this.streams.get(id);
    if (!stream) return 'neverSeen';
    if (stream.done) return 'finished';
    stream.cancelled = true;
    this.wastedTokens += stream.prefilled;
    stream.done = true;
    this.running.delete(stream);
    stream.listeners.forEach((listener) => listener());
    return 'cancelled';
  }

  /** Stops all work. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private schedule(delayMs: number): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.step();
    }, delayMs);
  }

  private step(): void {
    if (this.fault === 'stall') {
      this.schedule(20);
      return;
    }
    const prefillMs = this.admitNext();
    this.running.forEach((stream) => this.addEvent(stream));
    if (this.running.size === 0 && this.waiting.length === 0) return;
    const batch = Math.max(0, this.running.size - 1);
    const slowdown = this.traits.isPrompt ? 1 : 1 + BATCH_SLOWDOWN * batch;
    const decodeMs = this.traits.decodeMs * slowdown;
    this.schedule((prefillMs + decodeMs) * (this.fault === 'slow' ? SLOW_FACTOR : 1));
  }

  private admitNext(): number {
    if (this.running.size >= this.traits.slots) return 0;
    const stream = this.waiting.shift();
    if (!stream || stream.done) return 0;
    this.running.add(stream);
    return this.prefill(stream);
  }

  private prefill(stream: EngineStream): number {
    const { prompt } = stream;
    const prefixes = PREFIX_TOKENS
      .filter((tokens) => prompt.length >= tokens * CHARACTERS_PER_TOKEN)
      .map((tokens) => ({ tokens, key: hashText(prompt.slice(0, tokens * CHARACTERS_PER_TOKEN)) }));
    const cached = prefixes.findLast(({ key }) => this.cache.has(key))?.tokens ?? 0;
    prefixes.forEach(({ key }) => {
      this.cache.delete(key);
      this.cache.set(key, true);
    });
    [...this.cache.keys()]
      .slice(0, Math.max(0, this.cache.size - this.traits.cacheSize))
      .forEach((key) => this.cache.delete(key));
    const uncachedTokens = Math.max(0, prompt.length / CHARACTERS_PER_TOKEN - cached);
    this.prefilledTokens += uncachedTokens;
    stream.prefilled = uncachedTokens;
    return uncachedTokens * this.traits.prefillMs;
  }

  private addEvent(stream: EngineStream): void {
    const position = stream.events.length;
    const isLast = position >= stream.maxTokens;
    const text = isLast ? '' : `${hashText(stream.prompt).slice(0, 6)}:${position} `;
    const choice = stream.isChat ? { index: 0, delta: { content: text } } : { index: 0, text };
    stream.events.push(JSON.stringify({
      id: stream.id,
      object: stream.isChat ? 'chat.completion.chunk' : 'text_completion',
      model: stream.model,
      choices: [{ ...choice, finish_reason: isLast ? 'stop' : null }],
    }));
    if (isLast) {
      stream.done = true;
      this.running.delete(stream);
    }
    stream.listeners.forEach((listener) => listener());
  }
}
