import type { Plugin } from 'esbuild';

/**
 * Replacement modules by library name: only the parts that the processes on the users' platform use.
 *
 * The full libraries take more start-up time and memory than the processes themselves. An import of
 * a name that is missing here fails the build.
 */
const MODULE_SOURCES: Readonly<Record<string, string>> = {
  undici: `
    import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
    import request from 'undici/lib/api/api-request.js';
    Dispatcher.prototype.request = request;
    export { default as Agent } from 'undici/lib/dispatcher/agent.js';
    export { default as Client } from 'undici/lib/dispatcher/client.js';
    export { default as Pool } from 'undici/lib/dispatcher/pool.js';
    export { default as buildConnector } from 'undici/lib/core/connect.js';
  `,
  'hdr-histogram-js': `
    export { default as Int32Histogram } from 'hdr-histogram-js/dist/Int32Histogram.js';
  `,
  // Node.js itself has the streams that this library backports to older versions and browsers.
  'readable-stream': `module.exports = require('node:stream');`,
  'readable-stream/lib/_stream_writable.js': `module.exports = require('node:stream').Writable;`,
};

/** Replaces some libraries by modules with only the parts that the processes use. */
export const selectLibraryModules: Plugin = {
  name: 'take-library-parts',
  setup: ({ onResolve, onLoad }) => {
    const names = Object.keys(MODULE_SOURCES).map((name) => name.replaceAll('.', '\\.'));
    onResolve({ filter: new RegExp(`^(${names.join('|')})$`) }, ({ path }) => ({
      path,
      namespace: 'library-part',
    }));
    onLoad({ filter: /.*/, namespace: 'library-part' }, ({ path }) => ({
      contents: MODULE_SOURCES[path]!,
      resolveDir: process.cwd(),
    }));
  },
};
