/** An entry of KNOWN-RED.txt: a test that fails because of a known fault. */
export type KnownFailure = {
  /** The test's full title. */
  readonly test: string;
  readonly command: string;
  readonly seed: string;
  readonly seen: string;
  readonly issue: string;
  /** Where the test passes nevertheless; absent if it always fails. */
  readonly passes?: string;
};

/** Result of one test. */
export type TestResult = { readonly title: string; readonly passed: boolean };

/** Titles of the tests whose result differs from a pass or from the list of known failures. */
export type RunSummary = {
  /** Listed tests that failed. */
  readonly known: readonly string[];
  /** Tests that failed and are not listed. */
  readonly unlisted: readonly string[];
  /** Listed tests that passed, as their entries say that they may. */
  readonly unsteady: readonly string[];
  /** Listed tests that passed without such a note, or did not run. */
  readonly stale: readonly string[];
};

const FIELDS = ['test', 'command', 'seed', 'seen', 'issue'] as const;

/**
 * Parses KNOWN-RED.txt: entries of `field: value` lines, separated by empty lines.
 *
 * @throws {Error} When an entry lacks a field.
 */
export function parseKnownFailures(text: string): readonly KnownFailure[] {
  const blocks = text
    .split(/\n\s*\n/)
    .map((block) => block.split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#')))
    .filter((lines) => lines.length > 0);
  return blocks.map((lines) => {
    const values = Object.fromEntries(
      lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).trim(), line.slice(colon + 1).trim()];
      }),
    );
    for (const field of FIELDS) {
      if (!values[field]) {
        throw new Error(
          `an entry of KNOWN-RED.txt has no field "${field}"; add it: ${lines.join(' / ')}`,
        );
      }
    }
    return values as KnownFailure;
  });
}

/** Compares test results with the list of known failures. */
export function compareWithKnown(
  results: readonly TestResult[],
  listed: readonly KnownFailure[],
): RunSummary {
  const names = new Set(listed.map(({ test }) => test));
  const mayPass = new Set(listed.filter(({ passes }) => passes).map(({ test }) => test));
  const failed = results.filter(({ passed }) => !passed).map(({ title }) => title);
  const failedNames = new Set(failed);
  const unsteady = results
    .filter(({ title, passed }) => passed && mayPass.has(title))
    .map(({ title }) => title);
  return {
    known: failed.filter((title) => names.has(title)),
    unlisted: failed.filter((title) => !names.has(title)),
    unsteady,
    stale: [...names].filter((title) => !failedNames.has(title) && !unsteady.includes(title)),
  };
}
