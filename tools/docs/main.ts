import { writeFileSync } from 'node:fs';
import { formatCatalogue } from '../../log/formatCatalogue.ts';

writeFileSync('docs/LOGS.md', formatCatalogue());
