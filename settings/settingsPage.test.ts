import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { z } from 'zod';
import { SETTINGS_SCHEMAS } from './_schemas.ts';

type JsonSchema = { readonly properties?: Readonly<Record<string, JsonSchema>> };

function listKeys(schema: JsonSchema): readonly string[] {
  return Object.values(schema.properties ?? {}).flatMap((section) =>
    Object.keys(section.properties ?? {}),
  );
}

describe('docs/SETTINGS.md', () => {
  const page = readFileSync('docs/SETTINGS.md', 'utf8');
  const documented = new Set([...page.matchAll(/^\|[^|]*\| `(\w+)`/gm)].map((match) => match[1]));
  const known = Object.values(SETTINGS_SCHEMAS).flatMap((schema) =>
    listKeys(z.toJSONSchema(schema, { io: 'input' }) as JsonSchema),
  );

  it('documents every setting and no others', () => {
    expect([...documented]).to.have.members([...new Set(known)]);
  });
});
