import type { Socket } from 'node:net';
import type { Client } from 'undici';
import type { Milliseconds } from '../core/clock/mod.ts';

/** A connection to a backend server, which carries one request at a time. */
export type Connection = {
  readonly client: Client;
  /** Bytes of the current response's body so far. */
  bodyBytes: number;
  /** Bytes that the socket had received before the current response. */
  bytesReadBefore: number;
  /** `undefined` until the connection is established. */
  socket: Socket | undefined;
  /** Called when the current response has more bytes outside its body than any sound one. */
  onOverhead: () => void;
  /** Resumes the body of the current response; called when the socket has ended and all bytes are read. */
  onSocketEnd: () => void;
  /** Set when the socket fails, which undici reports as the regular end of some responses. */
  readonly socketState: { wasReset: boolean };
  /** Whether requests can be written. */
  isOpen: boolean;
  /** Whether the current response is not read, so that the end of the connection is not known. */
  isPaused: boolean;
  openedAt: Milliseconds;
  idleSince: Milliseconds;
};

/** Bytes of a response that are not part of its body: its head, framing and trailers. */
const MAX_OVERHEAD_BYTES = 262_144;

/** Bytes of framing for each byte of the body, at most: the body may come in chunks of one byte. */
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 16;

/** The parser accepts heads, interim responses, framing and trailers of any length. */
export function limitOverhead({
  socket,
  bytesReadBefore,
  bodyBytes,
  onOverhead,
}: Connection): void {
  const overheadBytes = (socket?.bytesRead ?? 0) - bytesReadBefore - bodyBytes;
  const maxBytes = MAX_OVERHEAD_BYTES + bodyBytes * MAX_FRAMING_BYTES_PER_BODY_BYTE;
  if (overheadBytes > maxBytes) onOverhead();
}
