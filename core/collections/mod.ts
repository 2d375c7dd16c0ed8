/** Collections that the language does not have. @module */
export { Heap } from './heap.ts';
