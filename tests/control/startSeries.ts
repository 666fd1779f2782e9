/** Lets everything run that is due. */
export const settleTasks = async (): Promise<void> => {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
};

/** Runs something for each item, one after another. */
export const startSeries = async <Item>(
  items: readonly Item[],
  run: (item: Item) => Promise<void>,
): Promise<void> => items.reduce(async (before, item) => {
  await before;
  await run(item);
}, Promise.resolve());
