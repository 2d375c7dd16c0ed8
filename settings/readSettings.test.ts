import { expect } from 'chai';
import { formatProblem } from '../core/ini/mod.ts';
import { formatSettings, maskSettings, readSettings } from './mod.ts';
import type { SettingsRole } from './mod.ts';

const KEY_VARIABLE = 'SETTINGS_TEST_LINK_KEY';

const STRONG_KEY = 'a-strong-key-of-the-test-0123456789';

const ENTRY = `[process]
host = entry-1
availability_zone = az-1
[listen]
callers = 127.0.0.1:8080
admin = 127.0.0.1:8081
[platform]
configuration = http://127.0.0.1:8500
host_list = http://127.0.0.1:8500
[link]
key_env = ${KEY_VARIABLE}
`;

const STANDINS = `[platform]
listen = 127.0.0.1:0
[store]
loads_per_second = 4
loads_at_once = 2
[engines]
listen = 127.0.0.1:0
slots = 4
[service]
listen = 127.0.0.1:0
[hosts]
`;

function formatProblems(text: string, role: SettingsRole = 'entry'): readonly string[] {
  const result = readSettings(role, 'e.ini', text);
  return result.kind === 'problems' ? result.problems.map(formatProblem) : [];
}

describe('readSettings', () => {
  beforeEach(() => {
    process.env[KEY_VARIABLE] = STRONG_KEY;
  });

  afterEach(() => {
    delete process.env[KEY_VARIABLE];
  });

  it('returns valid settings with defaults, durations in milliseconds and the link keys', () => {
    const reading = readSettings('entry', 'e.ini', `${ENTRY}[limits]\nrequest_timeout = 2s\n`);
    if (reading.kind !== 'settings') throw new Error(JSON.stringify(reading.problems));
    expect(reading.linkKeys).to.deep.equal([STRONG_KEY]);
    expect(reading.settings.limits).to.deep.include({ request_timeout: 2000 });
    expect(reading.settings.log).to.deep.equal({ format: 'json', level: 'info' });
  });

  describe('reports file, line, key, value, requirement and remedy for', () => {
    const cases: readonly [name: string, from: string, to: string, problem: string][] = [
      [
        'a repeated key',
        'admin = 127.0.0.1:8081',
        'callers = 1.2.3.4:1\nadmin = 127.0.0.1:8081',
        'e.ini:6: callers = "1.2.3.4:1": key "callers" of [listen] already stands at line 5; keep one',
      ],
      [
        'a repeated section',
        '[link]',
        '[process]\n[link]',
        'e.ini:10: section [process] already stands at line 1; keep one of them',
      ],
      [
        'an unknown section',
        '[link]',
        '[lnk]\n[link]',
        'e.ini:10: section [lnk] is unknown; remove it or correct its spelling, see docs/SETTINGS.md',
      ],
      [
        'an unknown key',
        'host =',
        'hots = x\nhost =',
        'e.ini:2: [process] hots = "x" is unknown; remove it or correct its spelling, see docs/SETTINGS.md',
      ],
      [
        'a missing address',
        'callers = 127.0.0.1:8080\n',
        '',
        'e.ini:4: [listen] callers is missing; add it, such as callers = 10.0.0.5:8080',
      ],
      [
        'a host name in place of an IP address',
        '127.0.0.1:8080',
        'localhost:8080',
        'e.ini:5: [listen] callers = "localhost:8080" must begin with an IP address, such as 127.0.0.1; replace the host name by its IP address',
      ],
      [
        'a port out of range',
        '127.0.0.1:8080',
        '127.0.0.1:65536',
        'e.ini:5: [listen] callers = "127.0.0.1:65536" must end in a port from 0 to 65535; correct it',
      ],
      [
        'an address without a port',
        '127.0.0.1:8080',
        '127.0.0.1',
        'e.ini:5: [listen] callers = "127.0.0.1" must be IP:PORT, such as 127.0.0.1:8080; add the port',
      ],
      [
        'a host name in a service URL',
        'configuration = http://127.0.0.1',
        'configuration = http://consul',
        'e.ini:8: [platform] configuration = "http://consul:8500" must begin with an IP address, such as 127.0.0.1; replace the host name by its IP address',
      ],
      [
        'a duration without a unit',
        '[link]',
        '[limits]\nrequest_timeout = 5\n[link]',
        'e.ini:11: [limits] request_timeout = "5" must be a duration with a unit, such as 500ms or 2s; add the unit',
      ],
      [
        'a number out of range',
        '[link]',
        '[limits]\nbody_bytes = 3\n[link]',
        'e.ini:11: [limits] body_bytes = "3" must be a whole number from 1024 to 2097152; correct it',
      ],
      [
        'a value outside a fixed set',
        '[link]',
        '[log]\nformat = xml\n[link]',
        'e.ini:11: [log] format = "xml" must be one of json, text; correct it',
      ],
      [
        'a secret in the file, masking its value',
        'key_env',
        'key = hunter2\nkey_env',
        'e.ini:11: [link] key = (masked) is unknown; remove it or correct its spelling, see docs/SETTINGS.md',
      ],
      [
        'a secret that cannot be read',
        KEY_VARIABLE,
        'NOT_SET_ANYWHERE',
        'e.ini:11: [link] key_env = "NOT_SET_ANYWHERE": the link key cannot be read; set the environment variable or make the file readable',
      ],
      [
        'a secret given in two places',
        'key_env',
        'key_file = k\nkey_env',
        `e.ini:12: [link] key_env = "${KEY_VARIABLE}" and key_file are mutually exclusive and one is required; set exactly one`,
      ],
    ];
    cases.forEach(([name, from, to, problem]) => {
      it(name, () => {
        expect(formatProblems(ENTRY.replace(from, to))).to.deep.equal([problem]);
      });
    });

    it('a weak secret, without printing it', () => {
      process.env[KEY_VARIABLE] = 'hunter2';
      const weak = 'a link key is too weak; use at least 32 random characters';
      expect(formatProblems(ENTRY)).to.deep.equal([
        `e.ini:11: [link] key_env = "${KEY_VARIABLE}": ${weak}`,
      ]);
    });

    it('a listed host', () => {
      const [problem] = formatProblems(`${STANDINS}engine-1 = sidecar 127.0.0.1\n`, 'standins');
      expect(problem).to.match(/^e\.ini:12: \[hosts\] engine-1 = "sidecar 127\.0\.0\.1" must be /);
    });
  });

  it('reports all problems at once, in line order', () => {
    const text = ENTRY.replace('host =', 'hots =').replace('8080', '99999');
    const lines = formatProblems(text).map((problem) => problem.split(':')[1]);
    expect(lines).to.deep.equal(['1', '2', '5']);
  });
});

describe('formatSettings', () => {
  it('formats settings as INI with secrets masked', () => {
    process.env[KEY_VARIABLE] = STRONG_KEY;
    const reading = readSettings('entry', 'e.ini', ENTRY);
    delete process.env[KEY_VARIABLE];
    if (reading.kind !== 'settings') throw new Error('the settings are not valid');
    const text = formatSettings(maskSettings(reading.settings, reading.linkKeys));
    expect(text).to.contain('callers = 127.0.0.1:8080').and.to.contain('keys = (masked)');
    expect(text).not.to.contain(STRONG_KEY);
  });
});
