/** Headers as received, names and values alternating. */
export type RawHeaders = readonly string[];

/** Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te',
  'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/**
 * Lists headers as pairs of name and value.
 *
 * @example
 * listPairs(['Host', 'a', 'X', '1']); // [['Host', 'a'], ['X', '1']]
 */
export const listPairs = (headers: RawHeaders): [string, string][] => (
  Array.from({ length: headers.length / 2 }, (unused, position): [string, string] => (
    [headers[2 * position] ?? '', headers[2 * position + 1] ?? '']))
);

/** Returns the first value of a header, or undefined; the name must be in lower case. */
export const findHeader = (headers: RawHeaders, name: string): string | undefined => {
  const position = headers.findIndex((text, index) => (
    index % 2 === 0 && text.length === name.length && text.toLowerCase() === name));
  return position < 0 ? undefined : headers[position + 1];
};

const listConnectionOptions = (headers: RawHeaders): string[] => (
  (findHeader(headers, 'connection') ?? '').toLowerCase().split(',').map((name) => name.trim())
);

/**
 * Removes hop-by-hop headers and the excluded ones.
 *
 * @param excluded names in lower case
 * @example
 * const passed = dropHeaders(request.rawHeaders, new Set(['authorization']));
 */
export const dropHeaders = (headers: RawHeaders, excluded: ReadonlySet<string>): string[] => {
  const connectionOptions = new Set(listConnectionOptions(headers));
  return listPairs(headers)
    .filter(([name]) => {
      const lower = name.toLowerCase();
      return !HOP_BY_HOP_HEADERS.has(lower)
        && !connectionOptions.has(lower)
        && !excluded.has(lower);
    })
    .flat();
};
