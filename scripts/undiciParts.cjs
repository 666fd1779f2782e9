/**
 * The parts of undici that an entry uses, in its place in the platform's bundle: the rest, fetch
 * and WebSocket above all, would be loaded at each restart for nothing.
 */
module.exports = {
  Client: require('../node_modules/undici/lib/dispatcher/client'),
  buildConnector: require('../node_modules/undici/lib/core/connect'),
};
