/**
 * Replaces undici in the platform's bundles by the parts that an entry uses. Otherwise each restart
 * would also load unused parts, above all fetch and WebSocket.
 */
module.exports = {
  Client: require('../node_modules/undici/lib/dispatcher/client'),
  buildConnector: require('../node_modules/undici/lib/core/connect'),
};
