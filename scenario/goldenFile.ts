/** Returns the name of the file that holds a scenario's golden session. */
export function goldenFile(scenario: string): string {
  return scenario.replace(/\.scenario$/, '.golden');
}
