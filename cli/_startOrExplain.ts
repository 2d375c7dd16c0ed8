/**
 * Starts a process's servers, or says why they cannot start and ends the process.
 *
 * @param start Starts them.
 */
export async function startOrExplain<T>(start: () => Promise<T>): Promise<T> {
  try {
    return await start();
  } catch (error) {
    const { code, address, port, message } = error as NodeJS.ErrnoException & {
      readonly address?: string;
      readonly port?: number;
    };
    const text =
      code === undefined || port === undefined
        ? `the process cannot start: ${message}`
        : `${address}:${port} cannot be listened on (${code}); free it or change the settings`;
    process.stderr.write(`${text}\n`);
    return process.exit(1);
  }
}
