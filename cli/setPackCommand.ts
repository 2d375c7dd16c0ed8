import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { Command, Option } from 'clipanion';
import { packSet, partName } from '../core/set/mod.ts';
import type { SetParts } from '../core/set/mod.ts';
import { checkSetFiles } from './_checkSetFiles.ts';
import { refusal } from './_readFileOrExplain.ts';
import type { Refusal } from './_readFileOrExplain.ts';
import { readPackedFolder } from './_readPackedFolder.ts';
import { refuseUse } from './_refuseUse.ts';

type Previous = { readonly kind: 'previous'; readonly setParts: SetParts | undefined };

/** `hyssopspread set pack`. */
export class SetPackCommand extends Command {
  static override paths = [['set', 'pack']];

  static override usage = Command.Usage({
    description: 'Checks a set and writes the values for the configuration service, head last.',
    details:
      'Prints the values to put, in their order. The folder holds all parts, so that a service ' +
      'that has lost its values can be filled again.',
    examples: [
      ['Pack a set', '$0 set pack --generation 12 --out values ixchel.ini'],
      [
        'Pack a change',
        '$0 set pack --generation 13 --after values/head --out next-values ixchel.ini',
      ],
    ],
  });

  readonly generation = Option.String('--generation', { required: true });

  readonly after = Option.String('--after', '', {
    description: 'The head of the set in force, with its parts beside it',
  });

  readonly out = Option.String('--out', { required: true });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const generation = Number(this.generation);
    if (!Number.isSafeInteger(generation) || generation < 1) {
      const remedy = 'give a whole number above that of the set in force';
      return refuseUse(this.context, `--generation "${this.generation}" is wrong; ${remedy}`);
    }
    const previous = await this.#readPrevious(generation);
    const check = checkSetFiles(this.files);
    const refusals = [previous, check].filter((each) => each.kind === 'refusal');
    refusals.forEach(({ text }) => this.context.stderr.write(`${text}\n`));
    if (previous.kind === 'refusal' || check.kind === 'refusal') return 1;
    const { head, setParts, values } = packSet(check.objects, generation, previous.setParts);
    setParts.texts.forEach((text, digest) => this.#write(partName(digest), text));
    for (const { name, text } of values) {
      this.#write(name, text);
      this.context.stdout.write(`${name}\n`);
    }
    this.context.stdout.write(`generation ${head.generation} digest ${head.digest}\n`);
    return 0;
  }

  async #readPrevious(generation: number): Promise<Previous | Refusal> {
    if (this.after === '') return { kind: 'previous', setParts: undefined };
    const folder = await readPackedFolder(this.after);
    if (folder.kind === 'refusal') return folder;
    if (generation > folder.head.generation) return { kind: 'previous', setParts: folder.setParts };
    const inForce = folder.head.generation;
    return refusal(
      `--generation ${generation} is not above ${inForce} of ${this.after}; give ${inForce + 1}`,
    );
  }

  #write(name: string, text: string): void {
    const path = join(this.out, name);
    mkdirSync(dirname(path), { recursive: true });
    writeFileSync(path, text);
  }
}
