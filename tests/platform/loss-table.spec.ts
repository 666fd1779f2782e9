import { describe, expect, it } from 'vitest';
import { formatLoss, listLosses } from '../../platform/lossTable';
import type { DayReport, RequestCounts } from '../../platform/lossTable';

const makeCounts = (name: string, counts: Partial<RequestCounts>): RequestCounts => ({
  name, n: 0, in_aim: 0, late: 0, refused: 0, failed: 0, not_owed: 0, worth: 0, ...counts,
});

const kinds = [
  { name: 'report', worth: 8, late_worth: 4 },
  { name: 'tag', worth: 1, late_worth: 0.5 },
];

/** 100 reports and 200 tags count, worth 1,000 in total, of which 150 are lost. */
const report: DayReport = {
  G: 0.75 * 0.85 + 0.25 * 0.4 - 0.03,
  parts: [['whole day', 0.75, 0.85], ['worst seconds', 0.25, 0.4]],
  prices: [['processor seconds', 70, 0.03], ['nothing', 5, 0]],
  classes: [
    makeCounts('report', {
      n: 110, not_owed: 10, in_aim: 80, late: 10, refused: 10, worth: 0.85,
    }),
    makeCounts('tag', {
      n: 200, in_aim: 170, failed: 30, worth: 0.85,
    }),
  ],
  windows: [
    makeCounts('0', { n: 100, worth: 0.9 }),
    makeCounts('2', {
      n: 100, worth: 0.4, refused: 60,
    }),
    makeCounts('4', { n: 100, not_owed: 100, worth: 0 }),
  ],
  unserved_by: [['refused by limit', 40, ['an example']]],
  events: [{ at_s: 1, to_s: 3, kind: 'many at once' }, { at_s: 5, to_s: 6, kind: 'none of it' }],
};

describe('the table of losses', () => {
  const lines = listLosses(report, kinds);

  it('should list losses that add up to 1 minus the score', () => {
    const sum = lines.reduce((total, { loss }) => total + loss, 0);
    expect(sum).toBeCloseTo(1 - report.G, 9);
  });

  it('should split the loss of the day by kind and reason, without requests that do not count', () => {
    const find = (part: string, reason: string) => lines
      .find((line) => line.part.endsWith(part) && line.reason === reason);
    expect(find('report', 'late')).toMatchObject({ requests: 10, loss: 0.75 * 0.04 });
    expect(find('report', 'refused')).toMatchObject({ requests: 10, loss: 0.75 * 0.08 });
    expect(find('tag', 'failed')).toMatchObject({ requests: 30, loss: 0.75 * 0.03 });
  });

  it('should list the worst windows that count, with the faults active in them', () => {
    const seconds = lines.filter(({ part }) => part.includes('second '));
    expect(seconds.map(({ part }) => part.trim())).toEqual(['from second 2: 0.400', 'from second 0: 0.900']);
    expect(seconds[0]?.reason).toContain('many at once');
  });

  it('should print a line for each loss, and none for a loss of 0', () => {
    expect(lines.map(formatLoss).join('\n')).not.toContain('nothing');
    expect(formatLoss(lines[0] as never)).toMatch(/^ 0\.1500 {2}worst seconds/u);
  });
});
