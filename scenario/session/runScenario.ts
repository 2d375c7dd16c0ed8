import { parseScenario, ScenarioError } from '../language/mod.ts';
import { Session } from './session.ts';
import type { SessionOptions } from './session.ts';
import { VERBS } from './verbs.ts';

/** How to run a scenario. */
export type RunScenarioOptions = SessionOptions & {
  /** Time to simulate after the last line, so that delayed effects occur. @default 35000 */
  readonly settleMs?: number;
  /** Called with the session before its first line runs. */
  readonly onSession?: (session: Session) => void;
};

/** Result of running a scenario. */
export type ScenarioReport = {
  /** Events with their virtual times; deterministic for a given scenario and seed. */
  readonly journal: readonly string[];
  /** Failed expectations and violated invariants. */
  readonly failures: readonly string[];
  /** Violated invariants. */
  readonly violations: readonly string[];
  readonly session: Session;
};

const DEFAULT_SETTLE_MS = 35_000;

async function runLines(session: Session, file: string, text: string): Promise<readonly string[]> {
  const { lines } = parseScenario(file, text, VERBS);
  const failures: string[] = [];
  for (const line of lines) {
    session.record(`> ${line.text}`);
    try {
      await VERBS[line.verb]?.run(session, line);
    } catch (error) {
      if (!(error instanceof ScenarioError)) throw error;
      failures.push(error.message);
    }
  }
  return failures;
}

/**
 * Runs a scenario and checks the product's invariants.
 *
 * @param file Name for error messages.
 * @param text The scenario's text.
 * @throws {ScenarioError} When a line of the scenario is invalid.
 */
export async function runScenario(
  file: string,
  text: string,
  options: RunScenarioOptions = {},
): Promise<ScenarioReport> {
  const session = new Session(options);
  options.onSession?.(session);
  const failures = await runLines(session, file, text);
  const journal = [...session.journal];
  await session.advance(options.settleMs ?? DEFAULT_SETTLE_MS);
  const violations = session.observer.finish(session.isRunning);
  return { journal, failures: [...failures, ...violations], violations, session };
}
