import { spawn, spawnSync } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { existsSync } from 'node:fs';
import { createInterface } from 'node:readline';

/** Path of the bundled program that tests start. */
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

/** Builds the bundle if it does not exist. */
export function buildBundleIfAbsent(): void {
  if (existsSync(BUNDLE)) return;
  const build = [process.execPath, '--import', 'tsx', 'tools/build/main.ts', '--bundle-only'];
  const [program = '', ...parameters] = build;
  const run = spawnSync(program, parameters, { stdio: ['ignore', 'ignore', 'inherit'] });
  if (run.status !== 0) throw new Error('the bundle build failed; run npm run bundle to see why');
}

/** A child process of the bundled program, with the events that it logs as JSON. */
export class ProgramProcess {
  readonly #child: ChildProcess;

  readonly #lines: LogLine[] = [];

  readonly #waiters = new Set<Waiter>();

  /** Resolves when the process has exited. */
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

  /** The process id; 0 if the process could not be started. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Every line logged so far. */
  get lines(): readonly LogLine[] {
    return this.#lines;
  }

  /** Returns the log as text, for error messages. */
  describe(): string {
    return this.#lines.map((line) => JSON.stringify(line)).join('\n');
  }

  /**
   * Resolves with the first log line that matches, logged already or later.
   *
   * @param number The event's number.
   * @param matches Further conditions.
   * @param after Index of the first line that is considered; by default, all lines are.
   */
  async event(
    number: string,
    matches: (line: LogLine) => boolean = () => true,
    after = 0,
  ): Promise<LogLine> {
    const isMatch = (line: LogLine): boolean => line.number === number && matches(line);
    const known = this.#lines.slice(after).find(isMatch);
    if (known !== undefined) return known;
    return new Promise((resolve, reject) => {
      this.#waiters.add({ matches: isMatch, resolve, reject });
    });
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Kills the process if it runs, and waits for its exit. */
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
