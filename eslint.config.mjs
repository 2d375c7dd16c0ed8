import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Node.js modules that perform I/O, which `core/` must not import. */
const INPUT_OUTPUT_MODULES = [
  'fs',
  'net',
  'http',
  'https',
  'dgram',
  'tls',
  'timers',
  'timers/promises',
  'fs/promises',
  'child_process',
  'worker_threads',
  'cluster',
];

/** Names in the users' platform's protocols, which only `platform/` may contain. */
const PLATFORM_NAMES = [
  'hyssopspread/(readiness|report|order|kv-)',
  'x-(response-stamp|not-run|expect-instance|expect-version|deadline-ms|request-priority|model)$',
  'kv-(key|range|watch|from|fetch)',
  'path-prefix$',
  'op/(config|version)',
  '(target-latency|timeout|cold-remaining|remaining)-ms$',
  'adapter-slots',
  'HYSSOPSPREAD_NODE_FILE',
].join('|');

const PLATFORM_NAMES_MESSAGE =
  'only platform/ may contain names of the platform; decode them there into fields of the product';

/** Folders of `core/` that make decisions, which `platform/` must not import. */
const DECISIONS = [
  'dispatch',
  'adapters',
  'admission',
  'placement',
  'residence',
  'limits',
  'tenants',
  'freshness',
  'tokenLimits',
  'requestQueue',
  'serverRoom',
  'promptCache',
];

const PLAIN_SYNTAX = ['ForInStatement', 'LabeledStatement', 'WithStatement'];

const PLATFORM_SYNTAX = ['Literal[value', 'TemplateElement[value.raw'].map((start) => ({
  selector: `${start}=/${PLATFORM_NAMES.replaceAll('/', '\\u002F')}/i]`,
  message: PLATFORM_NAMES_MESSAGE,
}));

export default [
  { ignores: ['dist/', 'target/', 'node_modules/', 'coverage/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    // Prettier handles layout; docs/CONTRIBUTING.md gives the reason for each changed rule.
    rules: {
      '@stylistic/max-len': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/generator-star-spacing': 'off',
      '@stylistic/wrap-iife': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/no-extra-parens': 'off',
      '@stylistic/spaced-comment': 'off',
      '@stylistic/lines-between-class-members': 'off',
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-useless-path-segments': 'off',
      'import-x/no-rename-default': 'off',
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      'no-restricted-syntax': ['error', ...PLAIN_SYNTAX, ...PLATFORM_SYNTAX],
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'no-param-reassign': ['error', { props: false }],
      'max-lines': ['error', { max: 450, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['core/**/*.ts'],
    ignores: ['core/**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [
            ...INPUT_OUTPUT_MODULES.map((name) => `node:${name}`),
            'ws',
            'undici',
            'polka',
            'winston',
            'p-queue',
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'fetch',
        'process',
        'performance',
        'Date',
      ],
    },
  },
  {
    // Tests of the processes use the platform's protocol as callers and backend servers do.
    files: ['programs/serving/**/*.test.ts', 'programs/serving/testing/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...PLAIN_SYNTAX] },
  },
  {
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...PLAIN_SYNTAX],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: DECISIONS.map((name) => `**/core/${name}/**`),
              message: 'platform/ contains only names, formats and calls; put decisions into core/',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'no-unused-expressions': 'off',
    },
  },
  {
    files: ['**/*.mjs'],
    rules: {
      'import-x/no-default-export': 'off',
      'no-restricted-syntax': ['error', ...PLAIN_SYNTAX],
    },
  },
];
