/** A test that is known to fail because of a real fault. */
export type KnownRed = {
  /** The test's full title. */
  readonly test: string;
  readonly command: string;
  readonly seed: string;
  readonly seen: string;
  readonly issue: string;
};

/** One test's result. */
export type TestResult = { readonly title: string; readonly passed: boolean };

/** What a run means once known failures are taken into account. */
export type Verdict = {
  readonly known: readonly string[];
  /** Failures that are not listed. */
  readonly unlisted: readonly string[];
  /** Listed cases that passed or did not run. */
  readonly stale: readonly string[];
};

const FIELDS = ['test', 'command', 'seed', 'seen', 'issue'] as const;

/**
 * Reads KNOWN-RED.txt: entries of `field: value` lines, parted by empty lines.
 *
 * @throws {Error} When an entry lacks a field.
 */
export function parseKnownRed(text: string): readonly KnownRed[] {
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
          `an entry of KNOWN-RED.txt has no "${field}"; add it: ${lines.join(' / ')}`,
        );
      }
    }
    return values as KnownRed;
  });
}

/** Compares a run with the listed failures. */
export function judgeRun(results: readonly TestResult[], listed: readonly KnownRed[]): Verdict {
  const names = new Set(listed.map(({ test }) => test));
  const failed = results.filter(({ passed }) => !passed).map(({ title }) => title);
  const failedNames = new Set(failed);
  return {
    known: failed.filter((title) => names.has(title)),
    unlisted: failed.filter((title) => !names.has(title)),
    stale: [...names].filter((title) => !failedNames.has(title)),
  };
}
