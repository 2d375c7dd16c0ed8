import { expect } from 'chai';
import { rendezvousOrder } from '../placement/mod.ts';
import { orderIssuers } from './_orderIssuers.ts';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

const TENANTS = Array.from({ length: 40 }, (_, index) => `t${index}`);

describe('orderIssuers', () => {
  it('puts entries on small hosts last', () => {
    const small = ['b', 'd', 'e'];
    const capacityOf = (name: string): number => (small.includes(name) ? 18 : 68);
    TENANTS.forEach((tenant) => {
      const order = orderIssuers(tenant, NAMES, capacityOf);
      expect(order.slice(3)).to.have.members(small);
      expect(order.slice(0, 3)).to.deep.equal(rendezvousOrder(tenant, ['a', 'c', 'f']));
    });
  });

  it('does not depend on capacities that differ little or are unknown', () => {
    const capacities: Readonly<Record<string, number>> = { a: 40, b: 60, c: 0, d: 68 };
    TENANTS.forEach((tenant) => {
      const order = orderIssuers(tenant, NAMES, (name) => capacities[name] ?? 0);
      expect(order).to.deep.equal(rendezvousOrder(tenant, NAMES));
    });
  });
});
