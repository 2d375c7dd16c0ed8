/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- plain JavaScript, so that nothing is built */
// The platform's store: reads, watches and what the operator and the workers write.
import { createServer } from 'node:http';
import { addressOf } from './base.mjs';

const PAGE_SIZE = 500;

/** Bytes of values on a page, at most. */
const PAGE_BYTES = 1_048_576;

/** Time for which changes are kept for watches. */
const HISTORY_MS = 20_000;

/** The items of a page: the first ones, as far as they fit. */
function pageOf(items) {
  let bytes = 0;
  const end = items.findIndex(({ value }, index) => {
    bytes += (value.length * 3) / 4;
    return index > 0 && (index >= PAGE_SIZE || bytes > PAGE_BYTES);
  });
  return end < 0 ? items : items.slice(0, end);
}

function sendJson(response, body) {
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

export class Store {
  records = new Map();

  events = [];

  revision = 100;

  watchers = new Set();

  /** Changes up to this revision are no longer available. */
  forgotten = 100;

  async listen(ip = addressOf(1)) {
    this.server = createServer((request, response) => this.answer(request, response));
    await new Promise((resolve) => {
      this.server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.server.address().port}`;
  }

  /** Writes an entry; `value` is an object, or bytes. */
  put(key, value) {
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    this.change({ key, value: bytes.toString('base64') });
  }

  remove(key) {
    this.change({ key, removed: true });
  }

  change(item) {
    this.revision += 1;
    const event = { ...item, revision: this.revision, at: Date.now() };
    if (item.removed) this.records.delete(item.key);
    else this.records.set(item.key, { ...event, created: this.revision, lease: 0 });
    this.events.push(event);
    [...this.watchers].forEach((look) => look(false));
  }

  answer(request, response) {
    const url = new URL(request.url, 'http://store');
    if (url.pathname.endsWith('/kv-range')) this.answerRange(url.searchParams, response);
    else if (url.pathname.endsWith('/kv-watch')) this.answerWatch(url.searchParams, response);
    else response.writeHead(404).end();
  }

  answerRange(query, response) {
    const prefix = query.get('path-prefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.records.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = pageOf(items);
    sendJson(response, {
      items: page,
      'has-more': items.length > page.length,
      'as-of': this.revision,
    });
  }

  answerWatch(query, response) {
    const prefix = query.get('path-prefix') ?? '';
    const after = Number(query.get('after'));
    this.forget();
    if (after < this.forgotten) {
      response.writeHead(410).end();
      return;
    }
    let timer;
    const look = (isLate) => {
      const events = this.events.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > after,
      );
      if (events.length === 0 && !isLate) return;
      clearTimeout(timer);
      this.watchers.delete(look);
      sendJson(response, { events, 'as-of': this.revision });
    };
    this.watchers.add(look);
    timer = setTimeout(() => look(true), Number(query.get('wait-ms')));
    look(false);
  }

  /** Discards the history that is older than a watch may ask for. */
  forget() {
    while (this.events.length > 0 && Date.now() - this.events[0].at > HISTORY_MS) {
      this.forgotten = this.events.shift().revision;
    }
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}
