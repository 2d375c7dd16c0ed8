/** An invalid line or failed expectation of a scenario; the message starts with `file:line`. */
export class ScenarioError extends Error {
  readonly kind = 'scenario-error';

  readonly file: string;

  readonly line: number;

  constructor(place: { readonly file: string; readonly line: number }, remedy: string) {
    super(`${place.file}:${place.line}: ${remedy}`);
    this.name = 'ScenarioError';
    this.file = place.file;
    this.line = place.line;
  }
}
