import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

/** Sends a JSON response; does nothing if a response has begun or the connection is closed. */
export function respondJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Sends a text response; does nothing if a response has begun or the connection is closed. */
export function respondText(
  response: ServerResponse,
  status: number,
  text: string,
  headers: OutgoingHttpHeaders = {},
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { 'Content-Length': Buffer.byteLength(text), ...headers });
  response.end(text);
}
