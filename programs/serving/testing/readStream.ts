import { request as httpRequest } from 'node:http';
import type { FleetEntry } from './entryFleet.ts';

/** What a caller read of a stream. */
export type StreamResult = {
  readonly status: number;
  readonly hasRetryAfter: boolean;
  readonly eventIds: readonly number[];
  /** The software versions of the servers that made the events, one each. */
  readonly versions: readonly string[];
};

/** A request of a stream. */
export type StreamCall = {
  readonly id: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** @default Infinity */
  readonly dropAfter?: number;
  /** Called when the first event has arrived. */
  readonly onBegun?: () => void;
};

/** Reads a stream from an entry until its end, or until the caller drops it. */
export function readStream(entry: FleetEntry, call: StreamCall): Promise<StreamResult> {
  const { id, headers = {}, dropAfter = Infinity, onBegun } = call;
  return new Promise((resolve) => {
    const eventIds: number[] = [];
    const versions: string[] = [];
    let status = 0;
    let hasRetryAfter = false;
    const finish = (): void => resolve({ status, hasRetryAfter, eventIds, versions });
    const request = httpRequest(
      {
        host: '127.0.0.1',
        port: entry.gateway.callerPort,
        path: `/long/${id}`,
        method: 'POST',
        agent: false,
        headers: { host: 'house.example', 'x-request-id': id, 'x-deadline-ms': '4000', ...headers },
      },
      (response) => {
        status = response.statusCode ?? 0;
        hasRetryAfter = response.headers['retry-after'] !== undefined;
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString('utf8');
          const events = [...text.matchAll(/id: (\d+)\ndata: (.+)\n\n/g)].slice(0, dropAfter);
          const hadNone = eventIds.length === 0;
          eventIds.splice(0, Infinity, ...events.map(([, eventId]) => Number(eventId)));
          versions.splice(0, Infinity, ...events.map(([, , version]) => version!));
          if (hadNone && events.length > 0) onBegun?.();
          if (events.length >= dropAfter) request.destroy();
        });
        response.on('error', () => undefined);
        response.once('close', finish);
      },
    );
    request.once('error', finish);
    request.end();
  });
}
