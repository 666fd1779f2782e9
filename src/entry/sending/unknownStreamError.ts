/** The engine has no record of the stream that is to be resumed. */
export class UnknownStreamError extends Error {
  constructor(readonly streamId: string, readonly offset: number, readonly status: number) {
    super(`the engine answered ${status} for stream ${streamId}`);
    this.name = 'UnknownStreamError';
  }
}
