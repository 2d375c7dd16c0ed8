const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Waits for SIGTERM or SIGINT, then shuts down.
 *
 * @param shutDown Stops the process's work.
 */
export async function runUntilSignal(shutDown: () => Promise<void>): Promise<void> {
  await new Promise<void>((resolve) => {
    SIGNALS.forEach((signal) => process.once(signal, () => resolve()));
  });
  await shutDown();
}
