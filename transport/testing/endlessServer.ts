import { once } from 'node:events';
import { createServer } from 'node:net';

/** What a faulty server sends: a start, and then the rest again and again. */
export type EndlessResponse = { readonly start: string; readonly rest: string };

/** A server that sends one response without end on each connection. For tests only. */
export type EndlessServer = {
  readonly address: string;
  /** Resolves with the number of bytes written once the first connection has closed. */
  readonly written: Promise<number>;
  readonly close: () => void;
};

/** Bytes that a server may write before its connection is closed, buffers of the kernel included. */
export const MAX_WRITTEN_BYTES = 16 * 1_048_576;

const CHUNK = 'x'.repeat(65_536);

const OK = 'HTTP/1.1 200 OK\r\n';

/** Responses without end outside a body that is delimited. */
export const ENDLESS_RESPONSES: Readonly<Record<string, EndlessResponse>> = {
  'bytes that are no response': { start: '', rest: CHUNK },
  'a status line': { start: 'HTTP/1.1 200 ', rest: CHUNK },
  'a header': { start: `${OK}X-A: `, rest: CHUNK },
  headers: { start: OK, rest: 'X-A: b\r\n'.repeat(8192) },
  'interim responses': { start: '', rest: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(2048) },
  'a chunk size': { start: `${OK}Transfer-Encoding: chunked\r\n\r\n`, rest: '0'.repeat(65_536) },
  'a chunk extension': { start: `${OK}Transfer-Encoding: chunked\r\n\r\n2;a=`, rest: CHUNK },
  trailers: {
    start: `${OK}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    rest: 'X-A: b\r\n'.repeat(8192),
  },
  'bytes after the body': { start: `${OK}Content-Length: 2\r\n\r\nok`, rest: CHUNK },
};

/** A response with a body without end. */
export const ENDLESS_BODY: EndlessResponse = { start: `${OK}\r\n`, rest: CHUNK };

/** Starts a server that responds to what it receives with a response without end. */
export async function startEndlessServer({ start, rest }: EndlessResponse): Promise<EndlessServer> {
  let resolveWritten: (bytes: number) => void = () => undefined;
  const written = new Promise<number>((resolve) => {
    resolveWritten = resolve;
  });
  const server = createServer((socket) => {
    const writeMore = (): void => {
      while (!socket.destroyed && socket.write(rest, 'latin1'));
    };
    socket.on('error', () => undefined);
    socket.on('drain', writeMore);
    socket.once('close', () => resolveWritten(socket.bytesWritten));
    socket.once('data', () => {
      socket.write(start, 'latin1');
      writeMore();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  return { address: `127.0.0.1:${port}`, written, close: () => server.close() };
}
