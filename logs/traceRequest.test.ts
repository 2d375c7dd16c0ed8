import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { formatTrace, readLogLine, traceRequest } from './mod.ts';
import type { LogLine, RequestTrace } from './mod.ts';

const RECORDED = readFileSync(new URL('testing/recorded.jsonl', import.meta.url), 'utf8');

const LINES: readonly LogLine[] = RECORDED.split('\n').flatMap((text) => readLogLine(text) ?? []);

function trace(id: string): RequestTrace {
  const found = traceRequest(LINES, id);
  expect(found, id).to.not.equal(undefined);
  return found!;
}

describe('traceRequest, on the log of a day with faults', () => {
  it('leads from a refused request to the load that did not come', () => {
    const { cause, own } = trace('6a0b60a4ce87ce88');
    expect(cause).to.match(/^refused: its adapter was not loaded in time/);
    expect(own.map(({ number }) => number)).to.deep.equal(['HS8019', 'HS8019', 'HS8020']);
  });

  it('leads from a stream that broke off to the server that left', () => {
    const { cause } = trace('b546dc3af4d51ceb');
    expect(cause).to.match(/^broken-off: server i-ee616f4835 .*: SocketError: other side closed/);
    expect(cause).to.match(/the server was no longer listed at /);
  });

  it('leads from a late stream to the slow server', () => {
    const { cause } = trace('0db14824dec785cb');
    expect(cause).to.match(/^answered: .*pause of 723 ms at server i-05e138e7fc/);
    expect(cause).to.match(/the server is slow$/);
  });

  it('shows the lines in the order of time, with what happened around the request', () => {
    const text = formatTrace(trace('b546dc3af4d51ceb'));
    expect(text).to.match(/^ +0 ms {2}HS8019 {2}front-antigua-2-1 [^]*around it:[^]*HS8004/);
  });

  it('knows nothing of a request that no line names', () => {
    expect(traceRequest(LINES, 'none')).to.equal(undefined);
  });
});

describe('readLogLine', () => {
  it('passes over what stands before the line, and over what is no line of a log', () => {
    const text = '  12.3 host {"number":"HS1001","timestamp":"2026-01-21T23:00:23.614Z"}';
    expect(readLogLine(text)).to.include({ number: 'HS1001' });
    ['', 'plain text', '{"broken', '{"number":7}'].forEach((other) => {
      expect(readLogLine(other)).to.equal(undefined);
    });
  });
});
