import type { Plugin } from 'esbuild';

/**
 * The parts of libraries that the processes on the users' platform use, by library.
 *
 * Loaded whole, these libraries take more time and memory at start than the processes themselves. A
 * name that the code imports and that is missing here fails the build.
 */
const PARTS: Readonly<Record<string, string>> = {
  undici: `
    import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
    import request from 'undici/lib/api/api-request.js';
    Dispatcher.prototype.request = request;
    export { default as Agent } from 'undici/lib/dispatcher/agent.js';
    export { default as Client } from 'undici/lib/dispatcher/client.js';
    export { default as buildConnector } from 'undici/lib/core/connect.js';
  `,
  'hdr-histogram-js': `
    export { default as Int32Histogram } from 'hdr-histogram-js/dist/Int32Histogram.js';
  `,
  // Node.js has what this library offers to older versions and browsers.
  'readable-stream': `module.exports = require('node:stream');`,
  'readable-stream/lib/_stream_writable.js': `module.exports = require('node:stream').Writable;`,
};

/** Bundles only those parts of some libraries that the processes on the platform use. */
export const takeLibraryParts: Plugin = {
  name: 'take-library-parts',
  setup: ({ onResolve, onLoad }) => {
    const names = Object.keys(PARTS).map((name) => name.replaceAll('.', '\\.'));
    onResolve({ filter: new RegExp(`^(${names.join('|')})$`) }, ({ path }) => ({
      path,
      namespace: 'library-part',
    }));
    onLoad({ filter: /.*/, namespace: 'library-part' }, ({ path }) => ({
      contents: PARTS[path]!,
      resolveDir: process.cwd(),
    }));
  },
};
