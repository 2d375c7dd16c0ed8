import { expect } from 'chai';
import fc from 'fast-check';
import { ByteBuffer } from './mod.ts';

describe('ByteBuffer', () => {
  it('holds the bytes of all chunks in order, also after it was cleared', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 20 }), (chunks) => {
        const buffer = new ByteBuffer();
        buffer.append(Buffer.from('before'));
        buffer.clear();
        chunks.forEach((chunk) => buffer.append(chunk));
        expect(buffer.bytes.equals(Buffer.concat(chunks))).to.equal(true);
        expect(buffer.length).to.equal(buffer.bytes.length);
      }),
      { seed: 5 },
    );
  });
});
