import { parseScenario, ScenarioError } from '../language/mod.ts';
import { Session } from './session.ts';
import type { SessionOptions } from './session.ts';
import { VERBS } from './verbs.ts';

/** How to run a scenario. */
export type RunScenarioOptions = SessionOptions & {
  /** Time that passes after the last line, so that late effects show. @default 35000 */
  readonly settleMs?: number;
  /** Told of the session before its first line. */
  readonly onSession?: (session: Session) => void;
};

/** What a run of a scenario showed. */
export type ScenarioReport = {
  /** Events with their virtual times: the same for the same scenario and seed. */
  readonly journal: readonly string[];
  /** Expectations that failed and invariants that were broken. */
  readonly failures: readonly string[];
  /** Invariants that were broken. */
  readonly violations: readonly string[];
  readonly session: Session;
};

const SETTLE_MS = 35_000;

async function runLines(session: Session, file: string, text: string): Promise<readonly string[]> {
  const { lines } = parseScenario(file, text, VERBS);
  const failures: string[] = [];
  for (const line of lines) {
    session.note(`> ${line.text}`);
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
 * Runs a scenario and checks the invariants of the product on it.
 *
 * @param file Name for error messages.
 * @param text The scenario's text.
 * @throws {ScenarioError} When a line of the scenario is wrong.
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
  await session.advance(options.settleMs ?? SETTLE_MS);
  const violations = session.observer.finish(session.runs);
  return { journal, failures: [...failures, ...violations], violations, session };
}
