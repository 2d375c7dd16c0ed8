import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import fc from 'fast-check';
import { DONE, failed, notRun, unknown } from '../outcome/mod.ts';
import type { Objective } from '../set/mod.ts';
import { BurnRecorder, OVERFLOW_LABEL } from './burnRecorder.ts';
import { reportBurn } from './burnReport.ts';
import { burnReportHtml } from './burnReportHtml.ts';
import { formatBurnReport } from './formatBurnReport.ts';
import { MetIncarnations } from './metIncarnations.ts';
import type { RequestSample } from './sample.ts';
import { readBurnSnapshot } from './snapshot.ts';

const MINUTE = 60_000;

const OBJECTIVE: Objective = {
  kind: 'objective',
  name: 'drafts',
  tenant: 't',
  target: 0.9,
  firstTokenMs: 300,
};

const GOOD: RequestSample = {
  tenant: 't',
  adapter: 't/a@1',
  availabilityZone: 'az-1',
  outcome: DONE,
  isAbandoned: false,
  firstTokenMs: 200,
  loadStallMs: 0,
  queuedMs: 10,
  betweenTokensMs: 20,
};

const STALLED = { ...GOOD, firstTokenMs: 900, loadStallMs: 600, queuedMs: 700 };

const BAD: readonly RequestSample[] = [
  STALLED,
  { ...GOOD, firstTokenMs: 500, queuedMs: 400, availabilityZone: 'az-2' },
  { ...GOOD, outcome: notRun('overloaded', 'full') },
  { ...GOOD, outcome: failed('backend-error', 'no'), adapter: 't/b@1' },
  { ...GOOD, outcome: unknown('link-lost', 'lost') },
];

function recorderOf(host: string, startedAt: number, slots = 360): BurnRecorder {
  const identity = { role: 'entry', host, incarnation: `${host}-1` } as const;
  const recorder = new BurnRecorder({ identity, startedAt, slots, countsPerSlot: 8 });
  recorder.applyObjectives([OBJECTIVE]);
  return recorder;
}

function record(recorder: BurnRecorder, samples: readonly RequestSample[], now: number): void {
  samples.forEach((sample) => recorder.record(sample, now));
}

function golden(name: string): string {
  return readFileSync(new URL(`golden/${name}`, import.meta.url), 'utf8');
}

describe('reportBurn', () => {
  it('matches the golden report of two processes, one of them restarted', () => {
    const first = recorderOf('entry-1', 0);
    record(first, Array(95).fill(GOOD), 10 * MINUTE);
    record(first, BAD, 10 * MINUTE);
    record(first, [STALLED, { ...GOOD, isAbandoned: true }], 118 * MINUTE);
    const second = recorderOf('entry-2', 500 * MINUTE);
    record(second, [GOOD, GOOD, STALLED], 520 * MINUTE);
    const met = new MetIncarnations();
    met.recordContact({ role: 'entry', host: 'entry-2', incarnation: 'entry-2-0' }, 100 * MINUTE);
    met.recordContact({ role: 'entry', host: 'entry-1', incarnation: 'entry-1-1' }, 100 * MINUTE);
    const report = reportBurn([
      first.snapshot(120 * MINUTE, met.list(120 * MINUTE)),
      second.snapshot(522 * MINUTE),
    ]);
    expect(formatBurnReport(report)).to.equal(golden('two-processes.txt'));
    expect(`${JSON.stringify(report, null, 2)}\n`).to.equal(golden('two-processes.json'));
  });

  it('counts a process once when its snapshot is given twice', () => {
    const recorder = recorderOf('entry-1', 0);
    record(recorder, [GOOD, STALLED], MINUTE);
    const snapshot = recorder.snapshot(2 * MINUTE);
    expect(reportBurn([snapshot, snapshot])).to.deep.equal(reportBurn([snapshot]));
  });

  it('leaves the full budget when there are no requests', () => {
    const [burn] = reportBurn([recorderOf('entry-1', 0).snapshot(MINUTE)]).objectives;
    expect(burn).to.include({ total: 0, bad: 0, budgetLeft: 1, overspent: 0 });
  });

  it('contains no negative number when the clock steps and processes restart', () => {
    const step = fc.record({
      by: fc.integer({ min: -20 * MINUTE, max: 20 * MINUTE }),
      sample: fc.constantFrom(GOOD, ...BAD),
      restart: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        let now = 100 * MINUTE;
        let recorder = recorderOf('entry-1', now);
        for (const { by, sample, restart } of steps) {
          now += by;
          if (restart) recorder = recorderOf('entry-1', now);
          recorder.record(sample, now);
        }
        const text = JSON.stringify(reportBurn([recorder.snapshot(now - MINUTE)]));
        expect(text).not.to.match(/[:,[]-|null/);
      }),
      { seed: 20261203, numRuns: 200 },
    );
  });
});

describe('BurnRecorder', () => {
  it('bounds the number of slots and of counts per slot', () => {
    const recorder = recorderOf('entry-1', 0, 3);
    for (let minute = 0; minute < 10; minute += 1) {
      for (let adapter = 0; adapter < 50; adapter += 1) {
        recorder.record({ ...STALLED, adapter: `t/a${adapter}@1` }, minute * MINUTE);
      }
    }
    const { slots } = recorder.snapshot(9 * MINUTE);
    expect(slots).to.have.length(3);
    slots.forEach(({ counts }) => {
      expect(counts).to.have.length(9);
      expect(counts.reduce((sum, each) => sum + each.count, 0)).to.equal(50);
      expect(counts.at(-1)).to.include({ adapter: OVERFLOW_LABEL, count: 42 });
    });
  });

  it('returns snapshots that survive a JSON round trip and rejects malformed ones', () => {
    const recorder = recorderOf('entry-1', 0);
    record(recorder, BAD, MINUTE);
    const snapshot = recorder.snapshot(2 * MINUTE);
    expect(readBurnSnapshot(JSON.parse(JSON.stringify(snapshot)))).to.deep.equal(snapshot);
    expect(readBurnSnapshot({ ...snapshot, slots: [{ counts: -1 }] })).to.equal(undefined);
  });
});

describe('burnReportHtml', () => {
  it('returns one page with plots, without scripts or external files, and escapes names', () => {
    const recorder = recorderOf('entry-1', 0);
    record(recorder, [{ ...STALLED, adapter: '<script>' }], MINUTE);
    const page = burnReportHtml(reportBurn([recorder.snapshot(2 * MINUTE)]));
    expect(page).to.contain('<svg').and.contain('&lt;script&gt;');
    expect(page).not.to.match(/<script|src=|href=/);
  });
});
