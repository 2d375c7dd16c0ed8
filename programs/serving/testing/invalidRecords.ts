/** Fields of a valid record, which sorts before those of the sound servers. */
const VALID = { address: '127.0.0.1:8761', zone: 'z1', slots: 64, state: 'ready' };

const NESTED = '['.repeat(200_000) + ']'.repeat(200_000);

/** Records that name no server that can be used: key and value. */
export const INVALID_RECORDS: Readonly<Record<string, readonly [string, unknown]>> = {
  'an address of an engine that is no IP address': [
    'servers/a',
    { ...VALID, service: 'llm', address: '127.0.0.300:8761' },
  ],
  'an address that is no IP address': [
    'servers/a',
    { ...VALID, service: 'app', address: '127.0.0.300:8761' },
  ],
  'a port out of range': ['servers/a', { ...VALID, service: 'app', address: '127.0.0.1:99999' }],
  'port 0': ['servers/a', { ...VALID, service: 'app', address: '127.0.0.1:0' }],
  'a port of many digits': [
    'servers/a',
    { ...VALID, service: 'llm', address: `127.0.0.1:${'9'.repeat(400)}` },
  ],
  'deep nesting': [
    'servers/a',
    `{"service":"app","address":"127.0.0.1:8761","zone":"z1","slots":64,"state":"ready","models":${NESTED}}`,
  ],
  'deep nesting in a field of no meaning': [
    'servers/a',
    `{"service":"nobody","address":"127.0.0.1:8761","zone":"z1","slots":64,"state":"ready","other":${NESTED}}`,
  ],
  'a number that is infinite': [
    'servers/a',
    '{"service":"app","address":"127.0.0.1:8761","zone":"z1","slots":1e999,"state":"ready"}',
  ],
  'a number that is too large': ['servers/a', { ...VALID, service: 'app', slots: 1e300 }],
  'a start that is too far away': ['servers/a', { ...VALID, service: 'app', born: 1e300 }],
  'a time left that is too long': [
    'servers/a',
    { ...VALID, service: 'app', 'remaining-ms': 1e300 },
  ],
  'a list of too many items': [
    'servers/a',
    { ...VALID, service: 'app', models: Array.from({ length: 500_000 }, () => 0) },
  ],
  'no text': ['servers/a', '\u0000\ufffd\u0001'],
  'a line break in its key': ['servers/a\r\nb', { ...VALID, service: 'app' }],
  'an empty id': ['servers/', { ...VALID, service: 'app' }],
  'a list instead of its fields': ['servers/a', [[], {}]],
};
