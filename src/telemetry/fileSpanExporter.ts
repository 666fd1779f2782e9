import { appendFile } from 'node:fs';
import { ExportResultCode, hrTimeToMilliseconds } from '@opentelemetry/core';
import type { ExportResult } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

const formatSpan = (span: ReadableSpan): string => JSON.stringify({
  traceId: span.spanContext().traceId,
  spanId: span.spanContext().spanId,
  parentId: span.parentSpanContext?.spanId ?? '',
  hop: span.name,
  startMs: hrTimeToMilliseconds(span.startTime),
  durationMs: hrTimeToMilliseconds(span.duration),
  attributes: span.attributes,
});

/** Appends spans to a file as JSON lines, which any collector can read. */
export class FileSpanExporter implements SpanExporter {
  constructor(private readonly path: string) {}

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    const lines = spans.map((span) => `${formatSpan(span)}\n`).join('');
    appendFile(this.path, lines, (error) => {
      done({ code: error ? ExportResultCode.FAILED : ExportResultCode.SUCCESS });
    });
  }

  async shutdown(): Promise<void> {
    await Promise.resolve();
  }
}
