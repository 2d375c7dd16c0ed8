/** Blocks the event loop for a while, as in a process that gets no processor time. For tests only. */
export function pauseProcess(durationMs: number): void {
  Atomics.wait(
    new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)),
    0,
    0,
    durationMs,
  );
}
