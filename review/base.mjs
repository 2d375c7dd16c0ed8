/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- plain JavaScript, so that nothing is built */
// Addresses, folders and the record of a case.
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..');

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A part of the loopback range for this run, so that runs and hosts don't share addresses. */
const NETWORK = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;

/** The address of a host, by its number. */
export const addressOf = (host) => `${NETWORK}.${host}`;

export async function freePort(ip) {
  const server = createServer();
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

export const temporaryFolder = () => mkdtempSync(join(tmpdir(), 'review-'));

export const removeFolder = (folder) => rmSync(folder, { recursive: true, force: true });

/** The record of a case: what was sent, answered and run. */
export class Record {
  constructor(fileUrl) {
    this.path = fileURLToPath(fileUrl);
    this.beganAt = Date.now();
    writeFileSync(this.path, '');
  }

  write(line) {
    const at = ((Date.now() - this.beganAt) / 1000).toFixed(3);
    appendFileSync(this.path, `${at} s ${line}\n`);
  }
}

/** Ends a case with its verdict: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export function finish(record, code, verdict) {
  record.write(verdict);
  process.stdout.write(`${verdict}\n`);
  process.exit(code);
}
