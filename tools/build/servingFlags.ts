/**
 * Node.js flags of the serving processes, which keep the heap below the memory of the smallest host.
 * V8 uses the compiled code only under the flags that it was compiled with.
 */
export const SERVING_FLAGS: readonly string[] = ['--max-old-space-size=200'];
