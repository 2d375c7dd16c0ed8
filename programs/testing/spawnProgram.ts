import { spawn, spawnSync } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { existsSync } from 'node:fs';
import { createInterface } from 'node:readline';

/** The bundled program that tests start. */
export const BUNDLE = 'dist/hyssopspread.cjs';

/** One line of a process's log. */
export type LogLine = Readonly<Record<string, string | number | boolean>> & {
  readonly number: string;
};

/** How a process ended. */
export type ProcessExit = {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
};

type Waiter = {
  readonly matches: (line: LogLine) => boolean;
  readonly resolve: (line: LogLine) => void;
  readonly reject: (error: Error) => void;
};

function parseLine(text: string): LogLine {
  try {
    return JSON.parse(text) as LogLine;
  } catch {
    return { number: '', text };
  }
}

/** Builds the bundle when the build step has not done so. */
export function buildBundleIfAbsent(): void {
  if (existsSync(BUNDLE)) return;
  const build = [process.execPath, '--import', 'tsx', 'tools/build/main.ts', '--bundle-only'];
  const [program = '', ...parameters] = build;
  const run = spawnSync(program, parameters, { stdio: ['ignore', 'ignore', 'inherit'] });
  if (run.status !== 0) throw new Error('the bundle cannot be built; run npm run bundle');
}

/** A process of the program and the events that it logs as JSON. */
export class ProgramProcess {
  readonly #child: ChildProcess;

  readonly #lines: LogLine[] = [];

  readonly #waiters = new Set<Waiter>();

  /** Settles when the process has ended. */
  readonly exit: Promise<ProcessExit>;

  constructor(parameters: readonly string[], environment: NodeJS.ProcessEnv) {
    this.#child = spawn(process.execPath, [BUNDLE, ...parameters], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    createInterface({ input: this.#child.stderr! }).on('line', (text) => this.#read(text));
    this.exit = new Promise((resolve) => {
      this.#child.once('exit', (code, signal) => {
        this.#waiters.forEach(({ reject }) =>
          reject(new Error(`the process ended (${code ?? signal}): ${this.describe()}`)),
        );
        resolve({ code, signal });
      });
    });
  }

  /** The process's number. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Every line logged so far. */
  get lines(): readonly LogLine[] {
    return this.#lines;
  }

  /** Returns the log as text, for messages. */
  describe(): string {
    return this.#lines.map((line) => JSON.stringify(line)).join('\n');
  }

  /**
   * Waits for a line of the log.
   *
   * @param number The event's number.
   * @param after The line after which to look, by its index; all lines are looked at by default.
   * @param matches Further conditions.
   */
  async event(
    number: string,
    matches: (line: LogLine) => boolean = () => true,
    after = 0,
  ): Promise<LogLine> {
    const isWanted = (line: LogLine): boolean => line.number === number && matches(line);
    const known = this.#lines.slice(after).find(isWanted);
    if (known !== undefined) return known;
    return new Promise((resolve, reject) => {
      this.#waiters.add({ matches: isWanted, resolve, reject });
    });
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Ends the process at once if it runs. */
  async kill(): Promise<void> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      this.signal('SIGCONT');
      this.signal('SIGKILL');
    }
    await this.exit;
  }

  #read(text: string): void {
    const line = parseLine(text);
    this.#lines.push(line);
    for (const waiter of [...this.#waiters]) {
      if (waiter.matches(line)) {
        this.#waiters.delete(waiter);
        waiter.resolve(line);
      }
    }
  }
}
