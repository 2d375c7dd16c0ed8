import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { Command, Option } from 'clipanion';
import { packSet } from '../core/set/mod.ts';
import { checkSetFiles } from './_checkSetFiles.ts';
import { refuseUse } from './_refuseUse.ts';

/** `hyssopspread set pack`. */
export class SetPackCommand extends Command {
  static override paths = [['set', 'pack']];

  static override usage = Command.Usage({
    description: 'Checks a set and writes the values for the configuration service, head last.',
    examples: [['Pack a set', '$0 set pack --generation 12 --out values ixchel.ini']],
  });

  readonly generation = Option.String('--generation', { required: true });

  readonly out = Option.String('--out', { required: true });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const generation = Number(this.generation);
    if (!Number.isSafeInteger(generation) || generation < 1) {
      const remedy = 'give a whole number above that of the set in force';
      return refuseUse(this.context, `--generation "${this.generation}" is wrong; ${remedy}`);
    }
    const check = checkSetFiles(this.files);
    if (check.kind === 'refusal') {
      this.context.stderr.write(`${check.text}\n`);
      return 1;
    }
    const { head, values } = packSet(check.objects, generation);
    for (const { name, text } of values) {
      const path = join(this.out, name);
      mkdirSync(dirname(path), { recursive: true });
      writeFileSync(path, text);
      this.context.stdout.write(`${name}\n`);
    }
    this.context.stdout.write(`generation ${head.generation} digest ${head.digest}\n`);
    return 0;
  }
}
