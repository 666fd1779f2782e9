/** Writes docs/CODES.md from the table of result codes; a test checks that it was done. */
import { writeFileSync } from 'node:fs';
import { formatCodesPage } from '../src/errors/codesPage';

writeFileSync('docs/CODES.md', formatCodesPage());
