/** Parts of prompts as suspects, beside the requests that have them. */

const PREFIX = 'part/';

/**
 * Formats the key of a part of prompts. Its service is part of it: the engines of another one may
 * bear the part.
 *
 * @example
 * formatPartKey('rooms', '5c1e07a2'); // 'part/rooms/5c1e07a2'
 */
export const formatPartKey = (service: string, part: string): string => `${PREFIX}${service}/${part}`;

/** Whether a suspect is a part of prompts rather than a request. */
export const isPartKey = (fingerprint: string): boolean => fingerprint.startsWith(PREFIX);
