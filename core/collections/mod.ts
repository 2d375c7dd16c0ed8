/** Collections that the standard library lacks. @module */
export { ByteBuffer } from './byteBuffer.ts';
export { Heap } from './heap.ts';
export { runAll } from './runAll.ts';
