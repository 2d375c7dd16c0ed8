import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { buildBundleIfAbsent, BUNDLE } from '../programs/testing/spawnProgram.ts';

const BINARY = 'dist/hyssopspread';

const LINK_KEY = 'a-strong-key-of-the-test-0123456789';

type Run = { readonly code: number | null; readonly out: string; readonly err: string };

function execute(program: string, parameters: readonly string[]): Run {
  const run = spawnSync(program, parameters, {
    encoding: 'utf8',
    env: { ...process.env, HYSSOPSPREAD_LINK_KEY: LINK_KEY },
  });
  return { code: run.status, out: run.stdout, err: run.stderr };
}

function hyssopspread(...parameters: readonly string[]): Run {
  return execute(process.execPath, [BUNDLE, ...parameters]);
}

describe('hyssopspread', () => {
  let folder: string;

  before(() => {
    buildBundleIfAbsent();
    folder = mkdtempSync(join(tmpdir(), 'hyssopspread-cli-'));
  });

  after(() => rmSync(folder, { recursive: true }));

  const write = (name: string, text: string): string => {
    const file = join(folder, name);
    writeFileSync(file, text);
    return file;
  };

  describe('exit codes', () => {
    it('are 0 for help and version', () => {
      expect(hyssopspread('--version')).to.include({ code: 0, out: '0.1.0\n' });
      expect(hyssopspread('--help')).to.include({ code: 0 });
    });

    it('are 2 for an invalid command line, with a message on standard error', () => {
      const commandLines = [
        [],
        ['no-such-command'],
        ['entry'],
        ['entry', '--settings'],
        ['set', 'check'],
        ['set', 'check', '--nonsense', 'a.ini'],
        ['set', 'pack', '--generation', 'x', '--out', folder, 'samples/ixchel-set.ini'],
        ['settings', 'check', '--role', 'nobody', 'samples/ixchel-entry.ini'],
      ];
      commandLines.forEach((parameters) => {
        const run = hyssopspread(...parameters);
        expect(run, parameters.join(' ')).to.include({ code: 2, out: '' });
        expect(run.err).not.to.equal('');
      });
    });

    it('are 1 for invalid settings, an invalid set and a missing file', () => {
      const wrong = write('wrong.ini', '[process]\n');
      const runs = [
        hyssopspread('settings', 'check', wrong),
        hyssopspread('set', 'check', wrong),
        hyssopspread('set', 'check', join(folder, 'absent.ini')),
        hyssopspread('entry', '--settings', wrong),
        hyssopspread('sidecar', '--settings', wrong),
        hyssopspread('standins', '--settings', wrong),
      ];
      runs.forEach((run) => expect(run).to.include({ code: 1, out: '' }));
    });

    it('are 1 for an address in use, which the error names', async () => {
      const server = createServer();
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port } = server.address() as AddressInfo;
      const file = write(
        'taken.ini',
        [
          `[platform]\nlisten = 127.0.0.1:${port}\n[store]\nloads_per_second = 1`,
          'loads_at_once = 1\n[engines]\nlisten = 127.0.0.1:0\nslots = 1',
          '[service]\nlisten = 127.0.0.1:0',
        ].join('\n'),
      );
      const run = hyssopspread('standins', '--settings', file);
      await new Promise((resolve) => {
        server.close(resolve);
      });
      expect(run.code).to.equal(1);
      expect(run.err).to.contain(`127.0.0.1:${port} cannot be listened on (EADDRINUSE)`);
    });
  });

  describe('--help', () => {
    const commands = [
      'demo',
      'entry',
      'sidecar',
      'standins',
      'set check',
      'set pack',
      'settings check',
      'status',
    ];
    commands.forEach((command) => {
      it(`of ${command} shows an example`, () => {
        const run = hyssopspread(...command.split(' '), '--help');
        expect(run.code).to.equal(0);
        expect(run.out).to.contain('Examples').and.to.contain(`hyssopspread ${command}`);
      });
    });
  });

  describe('--json', () => {
    it('of set check prints problems with file and line', () => {
      const file = write('set.ini', '[adapter t/a]\npool = p\nversions = 1\n');
      const run = hyssopspread('set', 'check', '--json', file);
      const { problems } = JSON.parse(run.out) as { readonly problems: readonly object[] };
      expect(problems[0]).to.deep.include({ file, line: 1 });
    });

    it('of settings check masks the link key', () => {
      const run = hyssopspread('settings', 'check', '--json', 'samples/ixchel-entry.ini');
      expect(JSON.parse(run.out)).to.deep.include({
        link: { key_env: 'HYSSOPSPREAD_LINK_KEY', keys: ['(masked)'] },
      });
      expect(run.out).not.to.contain(LINK_KEY);
    });
  });

  describe('as a single binary', () => {
    before(() => {
      if (existsSync(BINARY)) return;
      const build = execute(process.execPath, ['--import', 'tsx', 'tools/build/main.ts']);
      expect(build.code, build.err).to.equal(0);
    });

    it('prints its version and checks a set', () => {
      expect(execute(BINARY, ['--version'])).to.include({ code: 0, out: '0.1.0\n' });
      const check = execute(BINARY, ['set', 'check', 'samples/ixchel-set.ini']);
      expect(check).to.include({ code: 0, err: '' });
    });

    it('runs the demo without a warning and exits 0', () => {
      const demo = execute(BINARY, ['demo']);
      expect(demo).to.include({ code: 0, err: '' });
      const answers = demo.out.match(/^ {2}\S+ <- (\S+) on \S+: .*\[done\]$/gm) ?? [];
      expect(answers).to.have.length(20);
      answers.forEach((answer) => {
        expect(answer).to.match(/^ {2}(\S+) <- \1 on /);
      });
      expect(demo.out.match(/booking.*"outcome":"done"/g)).to.have.length(4);
    });
  });
});
