/** Writes docs/CODES.md from the table of result codes. A test checks that it is up to date. */
import { writeFileSync } from 'node:fs';
import { formatCodesPage } from '../src/errors/codesPage';

writeFileSync('docs/CODES.md', formatCodesPage());
