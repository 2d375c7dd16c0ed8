import { PassThrough } from 'node:stream';
import { Cli } from 'clipanion';
import { expect } from 'chai';
import { LogsTraceCommand } from './logsTraceCommand.ts';

const RECORDED = 'logs/testing/recorded.jsonl';

async function trace(...parameters: readonly string[]): Promise<readonly [number, string, string]> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const all = ['logs', 'trace', ...parameters];
  const code = await Cli.from([LogsTraceCommand]).run(all, { stdout, stderr });
  const text = (stream: PassThrough): string => String(stream.read() ?? '');
  return [code, text(stdout), text(stderr)];
}

describe('logs trace', () => {
  it('prints the lines of a request and the cause of its outcome', async () => {
    const [code, text, error] = await trace('b546dc3af4d51ceb', RECORDED);
    expect([code, error]).to.deep.equal([0, '']);
    expect(text).to.match(/HS8019[^]*HS8021[^]*HS8020[^]*broken-off: server i-ee616f4835/);
  });

  it('fails with a remedy when no line names the request or a file is missing', async () => {
    const [code, , error] = await trace('none', RECORDED);
    expect(code).to.equal(1);
    expect(error).to.match(/no line names request "none" \(\d+ log lines in 1 files\); give/);
    const [missing, , why] = await trace('none', 'logs/testing/missing.jsonl');
    expect(missing).to.equal(1);
    expect(why).to.include('correct its path');
  });
});
