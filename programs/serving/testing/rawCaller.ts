import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { isDisconnected } from '../../../http/mod.ts';

/** A request as its caller writes it. */
export type RawCall = {
  readonly id: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  /** @default '1.1' */
  readonly httpVersion?: '1.0' | '1.1';
  /** Called when the first bytes of the response arrive. */
  readonly onBegun?: () => void;
};

/** What a caller received until its connection ended. */
export type RawResult = {
  readonly status: number;
  readonly body: string;
  /** Whether the caller takes the response for complete: by its framing, or by a regular close. */
  readonly isComplete: boolean;
};

type ConnectionEnd = 'closed' | 'reset';

const HEAD_END = '\r\n\r\n';

/** Returns the body of a chunked response, and whether it has its last chunk. */
function decodeChunks(text: string): Pick<RawResult, 'body' | 'isComplete'> {
  let body = '';
  let rest = text;
  for (;;) {
    const match = /^([0-9a-f]+)\r\n/i.exec(rest);
    if (match === null) return { body, isComplete: false };
    const size = parseInt(match[1]!, 16);
    const begin = match[0].length;
    if (size === 0) return { body, isComplete: rest.startsWith('\r\n', begin) };
    body += rest.slice(begin, begin + size);
    if (rest.length < begin + size + 2) return { body, isComplete: false };
    rest = rest.slice(begin + size + 2);
  }
}

/** Reads what has arrived of a response. */
function parseResult(text: string, end: ConnectionEnd | undefined): RawResult {
  const headEnd = text.indexOf(HEAD_END);
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
  if (headEnd < 0) return { status, body: '', isComplete: false };
  const head = text.slice(0, headEnd + 2);
  const content = text.slice(headEnd + HEAD_END.length);
  if (/^transfer-encoding: *chunked\r$/im.test(head)) return { status, ...decodeChunks(content) };
  const length = /^content-length: *(\d+)\r$/im.exec(head)?.[1];
  const isComplete = length === undefined ? end === 'closed' : content.length >= Number(length);
  return { status, body: content, isComplete };
}

function writeRequest(socket: Socket, call: RawCall): void {
  const { id, path, headers = {}, body = Buffer.alloc(0), httpVersion = '1.1' } = call;
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(
    `POST ${path} HTTP/${httpVersion}\r\nHost: house.example\r\nX-Request-Id: ${id}\r\n` +
      `X-Deadline-Ms: 4000\r\n${lines.join('')}Content-Length: ${body.length}\r\n\r\n`,
  );
  if (body.length > 0) socket.write(body);
}

/** Sends a request over a plain socket; resolves once its response or the connection has ended. */
export function callRaw(ip: string, port: number, call: RawCall): Promise<RawResult> {
  return new Promise((resolve) => {
    const socket = connect(port, ip);
    let text = '';
    let end: ConnectionEnd | undefined;
    const finish = (): void => {
      resolve(parseResult(text, end));
      socket.destroy();
    };
    socket.setEncoding('latin1');
    socket.on('error', () => {
      end = 'reset';
    });
    socket.prependOnceListener('end', () => {
      end ??= isDisconnected(socket) ? 'reset' : 'closed';
    });
    socket.on('data', (chunk: string) => {
      if (text === '') call.onBegun?.();
      text += chunk;
      if (parseResult(text, undefined).isComplete) finish();
    });
    socket.once('close', finish);
    writeRequest(socket, call);
  });
}
