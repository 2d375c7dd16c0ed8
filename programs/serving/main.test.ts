import { expect } from 'chai';
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const SETTINGS = `
node-name: n1
ip: 127.0.0.1
zone: z1
listen: { front: "127.0.0.1:0", ready: "127.0.0.1:0", control: "127.0.0.1:0" }
internal-ports: [0]
app: "127.0.0.1:9"
platform: { address: "127.0.0.1:9" }
bounds: { grace-s: 1 }
`;

describe('a serving process', () => {
  let directory: string;

  let child: ChildProcess | undefined;

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
  });

  afterEach(() => {
    child?.kill('SIGKILL');
    rmSync(directory, { recursive: true });
  });

  ['entry', 'sidecar'].forEach((role) => {
    it(`exits with 0 on SIGTERM, even if nobody reads its log (${role})`, async () => {
      const file = join(directory, 'node.yaml');
      writeFileSync(file, SETTINGS);
      const args = ['--import', 'tsx', 'programs/serving/main.ts', role];
      const env = { ...process.env, HYSSOPSPREAD_NODE_FILE: file };
      child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'inherit'] });
      const exit = once(child, 'exit');
      const output = child.stdout!;
      const [first] = (await once(output, 'data')) as [Buffer];
      expect(first.toString()).to.include('HS1001');
      output.destroy();
      child.kill('SIGHUP');
      child.kill('SIGTERM');
      expect((await exit)[0]).to.equal(0);
    });
  });
});
