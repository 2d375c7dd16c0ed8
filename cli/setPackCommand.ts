import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { Command, Option } from 'clipanion';
import { packSet, partName } from '../core/set/mod.ts';
import type { SetParts } from '../core/set/mod.ts';
import { checkSetFiles } from './_checkSetFiles.ts';
import { failure } from './_readInputFile.ts';
import type { Failure } from './_readInputFile.ts';
import { readPackedFolder } from './_readPackedFolder.ts';
import { reportUsageError } from './_reportUsageError.ts';

type Previous = { readonly kind: 'previous'; readonly setParts: SetParts | undefined };

/** `hyssopspread set pack`. */
export class SetPackCommand extends Command {
  static override paths = [['set', 'pack']];

  static override usage = Command.Usage({
    description:
      'Validates a set and writes its values for the configuration service, the head last.',
    details:
      'Prints the names of the values to put, in order. The folder holds all parts, so that the ' +
      'values can be restored if the configuration service loses them.',
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
    description: 'Head file of the set in force; its part files are in the same folder',
  });

  readonly out = Option.String('--out', { required: true });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const generation = Number(this.generation);
    if (!Number.isSafeInteger(generation) || generation < 1) {
      const remedy = 'give a whole number above the generation in force';
      return reportUsageError(
        this.context,
        `--generation "${this.generation}" is invalid; ${remedy}`,
      );
    }
    const previous = await this.#readPrevious(generation);
    const result = checkSetFiles(this.files);
    const failures = [previous, result].filter((each) => each.kind === 'failure');
    failures.forEach(({ text }) => this.context.stderr.write(`${text}\n`));
    if (previous.kind === 'failure' || result.kind === 'failure') return 1;
    const { head, setParts, values } = packSet(result.objects, generation, previous.setParts);
    setParts.texts.forEach((text, digest) => this.#write(partName(digest), text));
    for (const { name, text } of values) {
      this.#write(name, text);
      this.context.stdout.write(`${name}\n`);
    }
    this.context.stdout.write(`generation ${head.generation} digest ${head.digest}\n`);
    return 0;
  }

  async #readPrevious(generation: number): Promise<Previous | Failure> {
    if (this.after === '') return { kind: 'previous', setParts: undefined };
    const folder = await readPackedFolder(this.after);
    if (folder.kind === 'failure') return folder;
    if (generation > folder.head.generation) return { kind: 'previous', setParts: folder.setParts };
    const currentGeneration = folder.head.generation;
    return failure(
      `--generation ${generation} is not above ${currentGeneration} of ${this.after}; give ${currentGeneration + 1}`,
    );
  }

  #write(name: string, text: string): void {
    const path = join(this.out, name);
    mkdirSync(dirname(path), { recursive: true });
    writeFileSync(path, text);
  }
}
