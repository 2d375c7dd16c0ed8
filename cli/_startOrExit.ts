/**
 * Starts the servers of a process. On failure prints the reason and exits the process with code 1.
 *
 * @param start Starts the servers.
 */
export async function startOrExit<T>(start: () => Promise<T>): Promise<T> {
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
        : `${address}:${port} cannot be listened on (${code}); free the port or change the settings`;
    process.stderr.write(`${text}\n`);
    return process.exit(1);
  }
}
