/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- plain JavaScript, so that nothing is built */
// A worker of a service, which keeps what it ran.
import { createServer } from 'node:http';

export class Worker {
  /** The runs: id, time, method, path and headers. */
  runs = [];

  /** Bytes of a request that it reads in a second; all at once if absent. */
  bytesPerSecond = undefined;

  /** @param options.onRun Answers a request: (request, response, id, worker). */
  constructor({ id, service, slots = 6, zone = 'z1', onRun }) {
    Object.assign(this, { id, service, slots, zone, onRun, born: Date.now() });
  }

  async listen(ip) {
    this.server = createServer((request, response) => this.read(request, response));
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve) => {
      this.server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.server.address().port}`;
  }

  /** What it writes of itself to the store. */
  get record() {
    const { service, address, zone, slots, born } = this;
    const state = { state: 'ready', 'cold-remaining-ms': 0, sequence: 0 };
    return { service, address, zone, version: 'v1', slots, ...state, born };
  }

  read(request, response) {
    request.on('data', (chunk) => {
      if (this.bytesPerSecond === undefined) return;
      request.pause();
      setTimeout(() => request.resume(), (chunk.length / this.bytesPerSecond) * 1000);
    });
    request.on('error', () => undefined);
    request.on('end', () => this.run(request, response));
  }

  run(request, response) {
    const id = request.headers['x-request-id'] ?? '';
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-request-id': id, 'x-not-run': '1' });
      response.end();
      return;
    }
    const { method, url, rawHeaders } = request;
    this.runs.push({ id, at: Date.now(), method, path: url, headers: rawHeaders });
    if (this.onRun === undefined) this.reply(response, id);
    else this.onRun(request, response, id, this);
  }

  reply(response, id, body = `done ${id}`) {
    response.writeHead(200, {
      'x-request-id': id,
      'x-response-stamp': `${this.id}.${id}`,
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}
