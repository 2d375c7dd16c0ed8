/** Collections that the standard library lacks. @module */
export { Heap } from './heap.ts';
export { runAll } from './runAll.ts';
