/**
 * Runs a function for each item, also after it has thrown for one.
 *
 * @throws The first error, once all items have been handled.
 */
export function runAll<Item>(items: Iterable<Item>, run: (item: Item) => void): void {
  const errors: unknown[] = [];
  for (const item of items) {
    try {
      run(item);
    } catch (error) {
      errors.push(error);
    }
  }
  if (errors.length > 0) throw errors[0];
}
