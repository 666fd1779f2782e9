import {
  ROOT_CONTEXT, SpanKind, SpanStatusCode, trace,
} from '@opentelemetry/api';
import type { Context, Span } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';
import { FileSpanExporter } from './fileSpanExporter';

/** Headers that propagate the trace context between VMs, as defined by W3C Trace Context. */
export type TraceHeaders = Record<string, string>;

/** Name of a span: the step of a request that it measures. */
export type HopName = 'caller' | 'claim' | 'owner' | 'engine' | 'service';

/** Attributes of a span. */
export type HopAttributes = Readonly<Record<string, string | number | boolean>>;

const EXPORT_DELAY_MS = 200;
const MAX_QUEUED_SPANS = 8_192;

/**
 * Traces requests; each hop is a span. Without a file, spans are not recorded, but the context is
 * still propagated.
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

  /** Reads the trace context of a request. */
  readContext(headers: Readonly<Record<string, unknown>>): Context {
    return this.propagator.extract(ROOT_CONTEXT, headers, {
      get: (carrier, key) => {
        const value = (carrier as Record<string, unknown>)[key];
        return typeof value === 'string' ? value : undefined;
      },
      keys: (carrier) => Object.keys(carrier as object),
    });
  }

  /** Formats a trace context as headers. */
  formatHeaders(from: Context): TraceHeaders {
    const headers: TraceHeaders = {};
    this.propagator.inject(from, headers, {
      set: (carrier, key, value) => {
        (carrier as TraceHeaders)[key] = value;
      },
    });
    return headers;
  }

  /** Starts a span; returns it and the context for its child spans. */
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

  /** Exports the remaining spans and stops. */
  async close(): Promise<void> {
    await this.provider?.shutdown();
  }
}

/** Ends a span with an error. */
export const failHop = (span: Span, message: string): void => {
  span.setStatus({ code: SpanStatusCode.ERROR, message });
  span.end();
};
