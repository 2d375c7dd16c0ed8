import { Command, Option } from 'clipanion';
import { checkSetFiles } from './_checkSetFiles.ts';

/** `hyssopspread set check`. */
export class SetCheckCommand extends Command {
  static override paths = [['set', 'check']];

  static override usage = Command.Usage({
    description: 'Checks the files of a set together.',
    examples: [
      ['Check a set', '$0 set check ixchel.ini shared.ini'],
      ['Print problems as JSON', '$0 set check --json ixchel.ini'],
    ],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const check = checkSetFiles(this.files);
    if (this.json) {
      const [objects, problems] =
        check.kind === 'objects' ? [check.objects.length, []] : [0, check.problems];
      this.context.stdout.write(`${JSON.stringify({ objects, problems })}\n`);
    }
    if (check.kind === 'refusal') {
      this.context.stderr.write(`${check.text}\n`);
      return 1;
    }
    if (!this.json) this.context.stdout.write(`${check.objects.length} objects are sound\n`);
    return 0;
  }
}
