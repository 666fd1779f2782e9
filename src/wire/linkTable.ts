import type { Client } from '@grpc/grpc-js';
import type { KeepaliveMode } from './channelOptions';
import { RpcLink } from './rpcLink';
import type { ClientConstructor } from './rpcLink';

/**
 * Links to peers by address, each opened on first use.
 *
 * @example
 * const peers = new LinkTable(PeerClient);
 * peers.find('10.0.0.2:7100').call(…);
 */
export class LinkTable<Stub extends Client> {
  private readonly links = new Map<string, RpcLink<Stub>>();

  constructor(
    private readonly Constructor: ClientConstructor<Stub>,
    private readonly keepaliveMode: KeepaliveMode = 'frequent',
  ) {}

  /** Finds the link to an address, or opens it. */
  find(address: string): RpcLink<Stub> {
    const existing = this.links.get(address);
    if (existing) return existing;
    const link = new RpcLink(this.Constructor, address, this.keepaliveMode);
    this.links.set(address, link);
    return link;
  }

  /** Closes the links to all other addresses. */
  closeExcept(addresses: readonly string[]): void {
    [...this.links.keys()]
      .filter((address) => !addresses.includes(address))
      .forEach((address) => {
        this.links.get(address)?.close();
        this.links.delete(address);
      });
  }

  /** Closes all links. */
  close(): void {
    this.closeExcept([]);
  }
}
