const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Waits for a signal to stop, then leaves.
 *
 * @param leave Ends the process's work.
 */
export async function runUntilSignal(leave: () => Promise<void>): Promise<void> {
  await new Promise<void>((resolve) => {
    SIGNALS.forEach((signal) => process.once(signal, () => resolve()));
  });
  await leave();
}
