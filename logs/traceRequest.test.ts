import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { formatTrace, readLogLine, traceRequest } from './mod.ts';
import type { LogLine, RequestTrace } from './mod.ts';

function readLines(name: string): readonly LogLine[] {
  const recorded = readFileSync(new URL(`testing/${name}`, import.meta.url), 'utf8');
  return recorded.split('\n').flatMap((text) => readLogLine(text) ?? []);
}

const LINES = readLines('recorded.jsonl');

function trace(id: string, lines = LINES): RequestTrace {
  const found = traceRequest(lines, id);
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

describe('traceRequest, on recorded logs of callers that left', () => {
  const lines = readLines('callersGone.jsonl');

  it('tells that a request was not handled, and where it may have waited', () => {
    const { cause } = trace('1aacc9cdde8ab359', lines);
    expect(cause).to.match(/^caller-gone: its caller left before it was handled, 87 ms after/);
    expect(cause).to.match(/waiting to be accepted, for 34 turns .*, the last of 29 ms/);
  });

  it('tells that the caller of a request in progress disconnected', () => {
    const { cause, requestLines } = trace('80c003758724e6db', lines);
    expect(cause).to.equal('caller-gone: its caller disconnected');
    expect(requestLines.map(({ number }) => number)).to.deep.equal(['HS8019', 'HS8020']);
  });
});

describe('traceRequest, on requests that were rejected for their key or its tenant', () => {
  const ended = (fields: Readonly<Record<string, unknown>>): string => {
    const base = { number: 'HS8020', timestamp: '2026-01-21T23:00:23.614Z', request: 'q1' };
    return trace('q1', [{ ...base, version: 7, ...fields }]).cause;
  };

  it('tells an unknown key from a missing one, several ones and a revoked one', () => {
    const end = { end: 'unauthorized', configurationAgeMs: 412 };
    expect(ended({ ...end, keys: 1 })).to.match(/^unauthorized: no tenant has its key.*7.* 412 ms/);
    expect(ended({ ...end, keys: 0 })).to.equal('unauthorized: its caller sent no key');
    expect(ended({ ...end, keys: 2 })).to.match(/2 key headers/);
    expect(ended(end)).to.match(/its key was revoked while it waited/);
  });

  it('tells a limit from both', () => {
    expect(ended({ end: 'limited', tenant: 'first' })).to.equal(
      'limited: its tenant first had reached its token limit',
    );
    expect(ended({ end: 'limited', tenant: 'first', cause: 'no-answer' })).to.equal(
      'limited: no issuer of the tokens of its tenant answered in time',
    );
  });

  it('tells a configuration that is too old from one that was never confirmed', () => {
    const end = { end: 'refused', reason: 'stale-configuration' };
    expect(ended({ ...end, configurationAgeMs: 4800 })).to.match(
      /^refused: its entry could not tell .* last confirmed 4800 ms before$/,
    );
    expect(ended(end)).to.match(/had never been confirmed$/);
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
