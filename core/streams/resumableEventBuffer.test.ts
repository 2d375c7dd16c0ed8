import { expect } from 'chai';
import fc from 'fast-check';
import { ResumableEventBuffer } from './mod.ts';

function event(id: number): string {
  return `id: ${id}\ndata: word ${id}\n\n`;
}

const STREAM = Array.from({ length: 6 }, (_, index) => event(index + 1)).join('');

describe('ResumableEventBuffer', () => {
  it('returns only complete events, however the stream is split into chunks', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(STREAM.length), { maxLength: 9 }), (offsets) => {
        const buffer = new ResumableEventBuffer();
        const boundaries = [0, ...offsets.sort((a, b) => a - b), STREAM.length];
        let out = '';
        boundaries.slice(1).forEach((boundary, index) => {
          out += buffer.push(Buffer.from(STREAM.slice(boundaries[index], boundary))).toString();
          expect(out === '' || out.endsWith('\n\n')).to.equal(true);
        });
        expect(out).to.equal(STREAM);
        expect(buffer.hasPartial).to.equal(false);
      }),
      { seed: 2 },
    );
  });

  it('resumes after a failure without missing or duplicate events', () => {
    fc.assert(
      fc.property(fc.nat(STREAM.length), fc.nat(6), (failureOffset, overlap) => {
        const buffer = new ResumableEventBuffer();
        let out = buffer.push(Buffer.from(STREAM.slice(0, failureOffset))).toString();
        buffer.discardPartial();
        const next = Math.max(1, (buffer.lastEventId ?? 0) + 1 - overlap);
        for (let id = next; id <= 6; id += 1) out += buffer.push(Buffer.from(event(id))).toString();
        expect(out).to.equal(STREAM);
      }),
      { seed: 4 },
    );
  });

  describe('with an event that comes in many small chunks', () => {
    /** Time for 900,000 bytes; copying what is there with each chunk takes several seconds. */
    const MAX_MS = 1000;

    // Guards against a stream that holds the event loop.
    it('takes time in proportion to its length', () => {
      const buffer = new ResumableEventBuffer();
      const byte = Buffer.from('x');
      const beganAt = performance.now();
      for (let length = 0; length < 900_000; length += 1) buffer.push(byte);
      expect(performance.now() - beganAt).to.be.below(MAX_MS);
      expect(buffer.partialBytes).to.equal(900_000);
      expect(buffer.push(Buffer.from('\n\n'))).to.have.length(900_002);
      expect(buffer.hasPartial).to.equal(false);
    });
  });

  describe('with an event id that is too large', () => {
    it('goes on with the events after it', () => {
      const buffer = new ResumableEventBuffer();
      buffer.push(Buffer.from(`id: ${'9'.repeat(400)}\n\n`));
      expect(buffer.lastEventId).to.equal(undefined);
      expect(buffer.push(Buffer.from(event(1))).toString()).to.equal(event(1));
    });
  });
});
