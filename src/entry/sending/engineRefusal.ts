/** An error status that an engine answered with. */
export class EngineRefusal extends Error {
  constructor(readonly status: number, readonly body: string) {
    super(`the engine answered with status ${status}`);
    this.name = 'EngineRefusal';
  }
}
