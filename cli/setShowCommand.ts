import { Command, Option } from 'clipanion';
import { readPackedFolder } from './_readPackedFolder.ts';

/** `hyssopspread set show`. */
export class SetShowCommand extends Command {
  static override paths = [['set', 'show']];

  static override usage = Command.Usage({
    description: 'Prints the contents of a folder written by "set pack".',
    examples: [['Show a packed set', '$0 set show values/head']],
  });

  readonly head = Option.String({ required: true });

  async execute(): Promise<number> {
    const folder = await readPackedFolder(this.head);
    if (folder.kind === 'failure') {
      this.context.stderr.write(`${folder.text}\n`);
      return 1;
    }
    const { head, setParts } = folder;
    this.context.stdout.write(`generation ${head.generation} digest ${head.digest}\n`);
    const counts = new Map<string, number>();
    setParts.manifest.forEach(({ kind, digest }) => {
      const text = setParts.texts.get(digest) ?? '';
      const objects = text === '' ? 0 : text.split('\n').length;
      counts.set(kind, (counts.get(kind) ?? 0) + objects);
    });
    counts.forEach((count, kind) => this.context.stdout.write(`${kind} ${count}\n`));
    return 0;
  }
}
