/**
 * Flags with which Node.js runs the serving processes: a heap that stays below the memory of the
 * smallest host. Code compiled ahead is taken only under the same flags.
 */
export const SERVING_FLAGS: readonly string[] = ['--max-old-space-size=200'];
