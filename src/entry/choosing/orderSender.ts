import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { MAX_ORDER_DELAY_MS } from '../../core/schedule/orderState';
import type { DesiredState, OrderResult } from '../../core/schedule/scheduleTypes';
import { toBeechliftError } from '../../errors/beechliftError';
import type { Logger } from '../../telemetry/logger';
import type { Metrics } from '../../telemetry/metrics';

const resultByStatus: Readonly<Record<number, OrderResult>> = { 200: 'taken', 202: 'taken', 409: 'outbid' };

/**
 * Sends orders to backend servers. An order contains the complete desired state of the server and
 * a fencing number.
 *
 * @example
 * const result = await orders.send('10.1.0.7:8000', desired, 12);
 */
export class OrderSender {
  constructor(private readonly metrics: Metrics, private readonly logger: Logger) {}

  /** Sends one order. The resulting state is read from the server's later announcements. */
  async send(address: string, desired: DesiredState, fencing: number): Promise<OrderResult> {
    const result = await this.put(address, { ...desired, fencing })
      .then((reply) => this.readResult(address, reply, fencing))
      .catch((thrown: unknown): OrderResult => {
        this.logger.warn('order not delivered, it will be sent again', { address, cause: toBeechliftError(thrown).message });
        return 'failed';
      });
    this.metrics.orders.inc({ result });
    return result;
  }

  private async put(
    address: string,
    order: DesiredState & { readonly fencing: number },
  ): Promise<Dispatcher.ResponseData> {
    const response = await request(`http://${address}/v1/order`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(MAX_ORDER_DELAY_MS),
      // Closes the connection afterwards: one that breaks while idle would fail the next order.
      reset: true,
    });
    await response.body.dump();
    return response;
  }

  private readResult(
    address: string,
    { statusCode }: Dispatcher.ResponseData,
    fencing: number,
  ): OrderResult {
    const result = resultByStatus[statusCode] ?? 'failed';
    if (result !== 'taken') this.logger.warn('order refused by backend server', { address, statusCode, fencing });
    return result;
  }
}
