/** Returns the path of the golden file that holds a scenario's expected journal. */
export function goldenFile(scenario: string): string {
  return scenario.replace(/\.scenario$/, '.golden');
}
