import { Command, Option } from 'clipanion';
import { checkSetFiles } from './_checkSetFiles.ts';

/** `hyssopspread set check`. */
export class SetCheckCommand extends Command {
  static override paths = [['set', 'check']];

  static override usage = Command.Usage({
    description: 'Validates the files of a set together.',
    examples: [
      ['Check a set', '$0 set check ixchel.ini shared.ini'],
      ['Print problems as JSON', '$0 set check --json ixchel.ini'],
    ],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const result = checkSetFiles(this.files);
    if (this.json) {
      const [objects, problems] =
        result.kind === 'objects' ? [result.objects.length, []] : [0, result.problems];
      this.context.stdout.write(`${JSON.stringify({ objects, problems })}\n`);
    }
    if (result.kind === 'failure') {
      this.context.stderr.write(`${result.text}\n`);
      return 1;
    }
    if (!this.json) this.context.stdout.write(`${result.objects.length} objects are valid\n`);
    return 0;
  }
}
