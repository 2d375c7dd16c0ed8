/** Example values of required settings by section and key, for messages about missing ones. */
export const EXAMPLE_VALUES: Readonly<Record<string, Readonly<Record<string, string>>>> = {
  process: { host: 'entry-1', availability_zone: 'az-1' },
  listen: { callers: '10.0.0.5:8080', admin: '10.0.0.5:8081', links: '10.0.0.5:8610' },
  platform: {
    configuration: 'http://10.0.0.9:8500',
    host_list: 'http://10.0.0.9:8500',
    listen: '127.0.0.1:8500',
  },
  link: { key_env: 'HYSSOPSPREAD_LINK_KEY' },
  backend: { kind: 'engine', backend_server: 'engine-1', url: 'http://10.0.0.5:8000' },
  store: { loads_per_second: '4', loads_at_once: '2' },
  engines: { listen: '127.0.0.1:8600', slots: '4' },
  service: { listen: '127.0.0.1:8700' },
};
