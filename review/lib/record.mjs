/** The record of a case: what was sent, answered and run. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Collects lines with the seconds since the start, and writes them to a file at the end. */
export class Record {
  lines = [];

  startedAt = performance.now();

  /** Adds a line. */
  add(text) {
    const seconds = (performance.now() - this.startedAt) / 1_000;
    this.lines.push(`${seconds.toFixed(3)} ${text}`);
  }

  /** Adds a line and prints it. */
  print(text) {
    this.add(text);
    console.log(this.lines.at(-1));
  }

  /** Writes the file. */
  write(file) {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}
