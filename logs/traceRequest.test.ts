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

describe('traceRequest, on recorded logs with injected faults', () => {
  it('attributes a refusal to an adapter that was not loaded in time', () => {
    const { cause, requestLines } = trace('6a0b60a4ce87ce88');
    expect(cause).to.match(/^refused: its adapter was not loaded in time/);
    expect(requestLines.map(({ number }) => number)).to.deep.equal(['HS8019', 'HS8019', 'HS8020']);
  });

  it('attributes a broken stream to a server that was removed', () => {
    const { cause } = trace('b546dc3af4d51ceb');
    expect(cause).to.match(/^broken-off: server i-ee616f4835 .*: SocketError: other side closed/);
    expect(cause).to.match(/the server was no longer listed at /);
  });

  it('attributes a late stream to a slow server', () => {
    const { cause } = trace('0db14824dec785cb');
    expect(cause).to.match(/^answered: .*pause of 723 ms at server i-05e138e7fc/);
    expect(cause).to.match(/the server is slow$/);
  });

  it('yields a trace that is formatted in time order, with the related lines', () => {
    const text = formatTrace(trace('b546dc3af4d51ceb'));
    expect(text).to.match(/^ +0 ms {2}HS8019 {2}front-antigua-2-1 [^]*around it:[^]*HS8004/);
  });

  it('returns undefined for an id that no line has', () => {
    expect(traceRequest(LINES, 'none')).to.equal(undefined);
  });
});

describe('readLogLine', () => {
  it('ignores text before the JSON, and returns undefined for other lines', () => {
    const text = '  12.3 host {"number":"HS1001","timestamp":"2026-01-21T23:00:23.614Z"}';
    expect(readLogLine(text)).to.include({ number: 'HS1001' });
    ['', 'plain text', '{"broken', '{"number":7}'].forEach((other) => {
      expect(readLogLine(other)).to.equal(undefined);
    });
  });
});
