import { expect } from 'chai';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { VirtualClock } from '../../core/clock/mod.ts';
import type { LogEventName } from '../../log/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { SettingsFile } from './settingsFile.ts';

function settingsText(seed: string): string {
  return `
node-name: n1
ip: 127.0.0.1
zone: z1
listen: {}
internal-ports: [7000]
seeds: ["${seed}"]
platform: { address: "127.0.0.1:9" }
bounds: {}
`;
}

describe('SettingsFile', () => {
  let directory: string;
  let path: string;
  let clock: VirtualClock;
  let events: LogEventName[];
  let reported: ProcessSettings[];

  function open(): SettingsFile {
    const file = new SettingsFile(path);
    file.start({
      clock,
      log: (event) => events.push(event),
      onChange: (settings) => reported.push(settings),
    });
    return file;
  }

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
    path = join(directory, 'node.yaml');
    writeFileSync(path, settingsText('10.0.0.1:1'));
    clock = createVirtualClock();
    events = [];
    reported = [];
  });

  afterEach(() => {
    rmSync(directory, { recursive: true });
  });

  it('reports changed settings once', async () => {
    const file = open();
    await file.reload();
    expect(reported).to.deep.equal([]);
    writeFileSync(path, settingsText('10.0.0.2:1'));
    await file.reload();
    await file.reload();
    expect(reported.map(({ seeds }) => seeds)).to.deep.equal([['10.0.0.2:1']]);
    expect(events).to.deep.equal(['settingsReloaded']);
  });

  it('polls the file without a signal', async () => {
    const file = open();
    writeFileSync(path, settingsText('10.0.0.3:1'));
    while (reported.length === 0) {
      clock.runNext();
      await new Promise(setImmediate);
    }
    file.close();
    expect(reported[0]?.seeds).to.deep.equal(['10.0.0.3:1']);
  });

  it('keeps its settings if the file is invalid, and logs that once', async () => {
    const file = open();
    writeFileSync(path, 'node-name: [');
    while (events.length === 0) {
      clock.runNext();
      await new Promise(setImmediate);
    }
    await file.reload();
    file.close();
    expect(reported).to.deep.equal([]);
    expect(events).to.deep.equal(['settingsWrong']);
    expect(file.initial.seeds).to.deep.equal(['10.0.0.1:1']);
  });
});
