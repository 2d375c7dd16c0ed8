import { Command, Option } from 'clipanion';
import { compareByName } from '../core/set/mod.ts';
import type { SetObject } from '../core/set/mod.ts';
import { checkSetFiles } from './_checkSetFiles.ts';

/** Exit code when the sets differ, as `diff` has it. */
const DIFFERENT_EXIT_CODE = 1;

/** Exit code when a set is invalid or cannot be read. */
const INVALID_EXIT_CODE = 2;

function mapByName(objects: readonly SetObject[]): ReadonlyMap<string, SetObject> {
  return new Map(objects.map((object) => [`${object.kind} ${object.name}`, object]));
}

/** Returns a line for each difference: `-`, `~` or `+`, then the kind and name of the object. */
function describeDifference(
  before: readonly SetObject[],
  after: readonly SetObject[],
): readonly string[] {
  const { added, changed, removed } = compareByName(mapByName(before), mapByName(after));
  return [
    ...removed.map((name) => `- ${name}`),
    ...changed.map((name) => `~ ${name}`),
    ...added.map((name) => `+ ${name}`),
  ];
}

/** `hyssopspread set diff`. */
export class SetDiffCommand extends Command {
  static override paths = [['set', 'diff']];

  static override usage = Command.Usage({
    description: 'Prints the objects that differ between two sets.',
    details: 'Exits with 0 when the sets are the same, 1 when they differ, 2 when one is invalid.',
    examples: [['Compare a set with a proposed one', '$0 set diff --before old.ini new.ini']],
  });

  readonly before = Option.Array('--before', {
    required: true,
    description: 'A file of the earlier set; repeat it for each file',
  });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const before = checkSetFiles(this.before);
    const after = checkSetFiles(this.files);
    if (before.kind === 'failure' || after.kind === 'failure') {
      [before, after].forEach((check) => {
        if (check.kind === 'failure') this.context.stderr.write(`${check.text}\n`);
      });
      return INVALID_EXIT_CODE;
    }
    const lines = describeDifference(before.objects, after.objects);
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
    return lines.length === 0 ? 0 : DIFFERENT_EXIT_CODE;
  }
}
