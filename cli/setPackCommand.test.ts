import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { Cli } from 'clipanion';
import { expect } from 'chai';
import { SetPackCommand } from './setPackCommand.ts';

const SET = readFileSync('samples/ixchel-set.ini', 'utf8');

type Result = { readonly code: number; readonly lines: readonly string[]; readonly error: string };

async function run(parameters: readonly string[]): Promise<Result> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const code = await Cli.from([SetPackCommand]).run(['set', 'pack', ...parameters], {
    stdout,
    stderr,
  });
  const text = (stream: PassThrough): string => String(stream.read() ?? '').trim();
  return { code, lines: text(stdout).split('\n'), error: text(stderr) };
}

describe('set pack', () => {
  let folder = '';

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'set-pack-'));
    writeFileSync(join(folder, 'set.ini'), SET);
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  function pack(generation: number, ...more: readonly string[]): Promise<Result> {
    const out = join(folder, `${generation}`);
    const parameters = ['--generation', `${generation}`, '--out', out, ...more];
    return run([...parameters, join(folder, 'set.ini')]);
  }

  it('prints only the values that a change adds, the head last, and writes all parts', async () => {
    const first = await pack(1);
    writeFileSync(join(folder, 'set.ini'), SET.replace('version = 2', 'version = 1'));
    const second = await pack(2, '--after', join(folder, '1', 'head'));
    const names = second.lines.slice(0, -1);
    expect(names.map((name) => name.split('/')[0])).to.deep.equal([
      'parts',
      'manifests',
      'differences',
      'head',
    ]);
    const parts = first.lines.filter((name) => name.startsWith('parts/'));
    const kept = parts.filter((name) => existsSync(join(folder, '2', name)));
    expect(kept).to.have.length(parts.length - 1);
  });

  it('rejects a generation that is not above the one in force', async () => {
    await pack(2);
    const result = await pack(2, '--after', join(folder, '2', 'head'));
    expect(result.code).to.equal(1);
    expect(result.error).to.match(/--generation 2 is not above 2 .*; give 3$/);
  });
});
