import {
  ROOT_CONTEXT, SpanKind, SpanStatusCode, trace,
} from '@opentelemetry/api';
import type { Context, Span } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';
import { FileSpanExporter } from './fileSpanExporter';

/** Headers that carry the trace context across VMs, as W3C Trace Context names them. */
export type TraceHeaders = Record<string, string>;

/** What a span is about. */
export type HopName = 'caller' | 'claim' | 'owner' | 'engine' | 'service';

/** Attributes of a span. */
export type HopAttributes = Readonly<Record<string, string | number | boolean>>;

const EXPORT_DELAY_MS = 200;
const MAX_QUEUED_SPANS = 8_192;

/**
 * Traces requests hop by hop. Without a file, spans are not recorded, but the context still
 * travels.
 *
 * @example
 * const tracer = new HopTracer('entry/e1', 'traces.ndjson');
 */
export class HopTracer {
  private readonly propagator = new W3CTraceContextPropagator();

  private readonly provider: BasicTracerProvider | undefined;

  constructor(private readonly process: string, traceFile: string) {
    if (traceFile === '') return;
    const processor = new BatchSpanProcessor(new FileSpanExporter(traceFile), {
      scheduledDelayMillis: EXPORT_DELAY_MS, maxQueueSize: MAX_QUEUED_SPANS,
    });
    this.provider = new BasicTracerProvider({ spanProcessors: [processor] });
  }

  /** Reads the context that came with a request. */
  readContext(headers: Readonly<Record<string, unknown>>): Context {
    return this.propagator.extract(ROOT_CONTEXT, headers, {
      get: (carrier, key) => {
        const value = (carrier as Record<string, unknown>)[key];
        return typeof value === 'string' ? value : undefined;
      },
      keys: (carrier) => Object.keys(carrier as object),
    });
  }

  /** Headers that carry a context on. */
  formatHeaders(from: Context): TraceHeaders {
    const headers: TraceHeaders = {};
    this.propagator.inject(from, headers, {
      set: (carrier, key, value) => {
        (carrier as TraceHeaders)[key] = value;
      },
    });
    return headers;
  }

  /** Begins a span under a context, and the context for what lies below it. */
  startHop(
    hop: HopName,
    parent: Context,
    attributes: HopAttributes = {},
  ): { span: Span; childContext: Context } {
    const tracer = this.provider?.getTracer('beechlift') ?? trace.getTracer('beechlift');
    const span = tracer.startSpan(hop, {
      kind: SpanKind.INTERNAL, attributes: { ...attributes, process: this.process },
    }, parent);
    return { span, childContext: trace.setSpan(parent, span) };
  }

  /** Writes what is left and stops. */
  async close(): Promise<void> {
    await this.provider?.shutdown();
  }
}

/** Ends a span that went wrong. */
export const failHop = (span: Span, message: string): void => {
  span.setStatus({ code: SpanStatusCode.ERROR, message });
  span.end();
};
