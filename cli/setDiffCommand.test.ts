import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { Cli } from 'clipanion';
import { expect } from 'chai';
import { SetDiffCommand } from './setDiffCommand.ts';

const SET = readFileSync('samples/ixchel-set.ini', 'utf8');

describe('set diff', () => {
  let folder = '';

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'set-diff-'));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  async function diff(before: string, after: string): Promise<readonly [number, string, string]> {
    const [stdout, stderr] = [new PassThrough(), new PassThrough()];
    const files = { before: join(folder, 'before.ini'), after: join(folder, 'after.ini') };
    writeFileSync(files.before, before);
    writeFileSync(files.after, after);
    const parameters = ['set', 'diff', '--before', files.before, files.after];
    const code = await Cli.from([SetDiffCommand]).run(parameters, { stdout, stderr });
    const text = (stream: PassThrough): string => String(stream.read() ?? '');
    return [code, text(stdout), text(stderr)];
  }

  it('prints nothing for equal sets', async () => {
    expect(await diff(SET, SET)).to.deep.equal([0, '', '']);
  });

  it('lists added, changed and removed objects', async () => {
    const added = `${SET}\n[base_model extra]\n`;
    expect(await diff(SET, added)).to.deep.equal([1, '+ base_model extra\n', '']);
    expect(await diff(added, SET)).to.deep.equal([1, '- base_model extra\n', '']);
    const [code, lines] = await diff(SET, SET.replace('version = 2', 'version = 1'));
    expect(code).to.equal(1);
    expect(lines).to.match(/^~ \w+ \S+\n$/);
  });

  it('reports the problems of an invalid set', async () => {
    const [code, lines, error] = await diff(SET, '[nothing x]\n');
    expect([code, lines]).to.deep.equal([2, '']);
    expect(error).to.include('after.ini');
  });
});
