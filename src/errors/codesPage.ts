import { resultCodes } from './resultCodes';

const HEADING = `# Result codes

Written by \`npm run docs:codes\` from \`src/errors/resultCodes.ts\`. \`beechlift explain CODE\` prints one row.
**Run** states whether the request did any work: \`notRun\` only if this is proven, \`unknown\` if it cannot be
determined. The number of a code never changes its meaning.

| Number | Name | HTTP | Run | What to do |
|---|---|---|---|---|
`;

/**
 * Formats the table of result codes as a Markdown page.
 *
 * @example
 * writeFileSync('docs/CODES.md', formatCodesPage());
 */
export const formatCodesPage = (): string => {
  const rows = Object.entries(resultCodes)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, {
      number, status, run, action,
    }]) => `| ${number} | ${name} | ${status} | ${run} | ${action} |`);
  return `${HEADING}${rows.join('\n')}\n`;
};
