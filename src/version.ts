import { version } from '../package.json';

/** Version of this build. */
export const VERSION: string = version;
