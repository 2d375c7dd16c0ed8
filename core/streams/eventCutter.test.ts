import { expect } from 'chai';
import fc from 'fast-check';
import { EventCutter } from './mod.ts';

function event(id: number): string {
  return `id: ${id}\ndata: word ${id}\n\n`;
}

const STREAM = Array.from({ length: 6 }, (_, index) => event(index + 1)).join('');

describe('EventCutter', () => {
  it('hands out whole events only, however the stream is cut into pieces', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(STREAM.length), { maxLength: 9 }), (cuts) => {
        const cutter = new EventCutter();
        const points = [0, ...cuts.sort((a, b) => a - b), STREAM.length];
        let out = '';
        points.slice(1).forEach((point, index) => {
          out += cutter.push(Buffer.from(STREAM.slice(points[index], point))).toString();
          expect(out === '' || out.endsWith('\n\n')).to.equal(true);
        });
        expect(out).to.equal(STREAM);
        expect(cutter.hasRest).to.equal(false);
      }),
      { seed: 2 },
    );
  });

  it('goes on after a break without a missing or a doubled event', () => {
    fc.assert(
      fc.property(fc.nat(STREAM.length), fc.nat(6), (cut, behind) => {
        const cutter = new EventCutter();
        let out = cutter.push(Buffer.from(STREAM.slice(0, cut))).toString();
        cutter.dropRest();
        const next = Math.max(1, (cutter.lastId ?? 0) + 1 - behind);
        for (let id = next; id <= 6; id += 1) out += cutter.push(Buffer.from(event(id))).toString();
        expect(out).to.equal(STREAM);
      }),
      { seed: 4 },
    );
  });
});
