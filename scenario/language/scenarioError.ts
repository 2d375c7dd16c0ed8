/** Where a scenario is wrong, and how to correct it. */
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
