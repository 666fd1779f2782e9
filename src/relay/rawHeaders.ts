import type { RawHeaders } from './requestDialect';

/** Headers that concern one connection and are never passed on (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** Value of the first header of a name, which is given in lower case; undefined without one. */
export const findHeader = (headers: RawHeaders, name: string): string | undefined => {
  const position = headers.findIndex((text, index) => (
    index % 2 === 0 && text.length === name.length && text.toLowerCase() === name));
  return position < 0 ? undefined : headers[position + 1];
};

const listConnectionOptions = (headers: RawHeaders): string[] => (
  (findHeader(headers, 'connection') ?? '').toLowerCase().split(',').map((name) => name.trim())
);

/**
 * Leaves out the headers that concern one connection, and others by name.
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
      return !CONNECTION_HEADERS.has(lower) && !connectionOptions.has(lower) && !excluded.has(lower);
    })
    .flat();
};
