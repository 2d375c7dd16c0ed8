import { Command, Option } from 'clipanion';
import { compareByName } from '../core/set/mod.ts';
import type { SetObject } from '../core/set/mod.ts';
import { checkSetFiles } from './_checkSetFiles.ts';

/** Exit code when the sets differ, as of the usual tools that compare files. */
const DIFFERENT = 1;

/** Exit code when a set cannot be read. */
const UNREADABLE = 2;

function byName(objects: readonly SetObject[]): ReadonlyMap<string, SetObject> {
  return new Map(objects.map((object) => [`${object.kind} ${object.name}`, object]));
}

/** Returns a line for each object that differs: `-`, `~` or `+`, its kind and its name. */
function describeDifference(
  before: readonly SetObject[],
  after: readonly SetObject[],
): readonly string[] {
  const { added, changed, removed } = compareByName(byName(before), byName(after));
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
    description: 'Prints the objects by which two sets differ.',
    details: 'Exits with 0 when the sets are the same, 1 when they differ, 2 when one is wrong.',
    examples: [['Compare a set with a proposed one', '$0 set diff --before old.ini new.ini']],
  });

  readonly before = Option.Array('--before', {
    required: true,
    description: 'A file of the earlier set; repeat for each',
  });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const before = checkSetFiles(this.before);
    const after = checkSetFiles(this.files);
    if (before.kind === 'refusal' || after.kind === 'refusal') {
      [before, after].forEach((check) => {
        if (check.kind === 'refusal') this.context.stderr.write(`${check.text}\n`);
      });
      return UNREADABLE;
    }
    const lines = describeDifference(before.objects, after.objects);
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
    return lines.length === 0 ? 0 : DIFFERENT;
  }
}
