import { visit } from 'jsonc-parser';

/**
 * Finds the text of a literal in a JSON object: a parsed number may be rounded. Returns the last
 * one if the property is repeated, like the JSON parser, and an empty text if there is none.
 *
 * @param name property of the object itself, not of one that it contains
 * @example
 * findLiteral('{"version":1764866186123456789}', 'version'); // '1764866186123456789'
 */
export const findLiteral = (json: string, name: string): string => {
  let isNext = false;
  let text = '';
  visit(json, {
    onObjectProperty: (property, offset, length, line, character, readPath) => {
      isNext = property === name && readPath().length === 0;
    },
    onLiteralValue: (value, offset, length) => {
      if (isNext) text = json.slice(offset, offset + length);
      isNext = false;
    },
  });
  return text;
};
