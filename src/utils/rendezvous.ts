import { createHash } from 'node:crypto';

const scoreNode = (key: string, node: string): string => createHash('sha1')
  .update(key).update('\0').update(node)
  .digest('hex');

/**
 * Ranks nodes for a key by rendezvous hashing: removing a node moves only the keys of that node.
 *
 * @example
 * const [owner] = rankByRendezvous('pool:fast', ['a', 'b', 'c']);
 */
export const rankByRendezvous = (key: string, nodes: readonly string[]): string[] => nodes
  .map((node) => ({ node, score: scoreNode(key, node) }))
  .sort((a, b) => (a.score < b.score ? 1 : -1))
  .map(({ node }) => node);
