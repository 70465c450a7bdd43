import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type AcceptedChange, type ItemChange, ItemKind } from "../../model/configuration";
import { advanceConfiguration, type AppliedState, replaceConfiguration } from "./advanceConfiguration";
import { applyChange, findItem, listItems } from "./applyChange";
import { chooseBootstrapRevision } from "./chooseBootstrapRevision";
import { createEmptyConfiguration } from "./createEmptyConfiguration";

const empty: AppliedState = { current: createEmptyConfiguration(), pending: new Map() };
const setService = (name: string, version: string): ItemChange =>
    ({ kind: ItemKind.Service, name, value: { name, kind: "model", version } }) as ItemChange;

const itemArbitrary = fc
    .record({ name: fc.constantFrom("a", "b", "__proto__", "c"), version: fc.option(fc.constantFrom("1", "2", "3")) })
    .map(({ name, version }): ItemChange =>
        version === null // eslint-disable-line no-restricted-syntax -- returned by fast-check
            ? { kind: ItemKind.Service, name }
            : setService(name, version),
    );
const historyArbitrary = fc
    .array(fc.array(itemArbitrary, { minLength: 1, maxLength: 3 }), { minLength: 1, maxLength: 12 })
    .map(items => items.map((changed, index): AcceptedChange => ({ revision: index + 1, items: changed })));

describe("configuration changes", () => {
    it("set and remove items and leave the others unchanged", () => {
        const first = applyChange(empty.current, { revision: 1, items: [setService("a", "1"), setService("b", "1")] });
        const second = applyChange(first, { revision: 2, items: [{ kind: ItemKind.Service, name: "a" }] });
        assert.equal(findItem(second, { kind: ItemKind.Service, name: "a" }), undefined);
        assert.ok(findItem(second, { kind: ItemKind.Service, name: "b" }));
        assert.equal(second.revision, 2);
    });

    it("give the same configuration regardless of the order and number of deliveries", () => {
        fc.assert(
            fc.property(historyArbitrary, fc.infiniteStream(fc.nat()), (history, picks) => {
                const expected = history.reduce(applyChange, empty.current);
                let state = empty;
                for (const pick of [...picks.take(60)]) {
                    const before = state.current.revision;
                    state = advanceConfiguration(state, [history[pick % history.length]!]);
                    assert.ok(state.current.revision >= before, "the revision never decreases");
                }
                state = advanceConfiguration(state, [...history].reverse());
                assert.deepEqual(state.current, expected);
                assert.equal(state.pending.size, 0);
            }),
            { seed: 5, numRuns: 200 },
        );
    });

    it("give the same configuration if applied to a complete configuration of any revision", () => {
        fc.assert(
            fc.property(historyArbitrary, fc.nat(), fc.nat(), (history, loadedPick, heldPick) => {
                const expected = history.reduce(applyChange, empty.current);
                const loaded = history.slice(0, loadedPick % (history.length + 1)).reduce(applyChange, empty.current);
                const held = advanceConfiguration(empty, history.slice(0, heldPick % (history.length + 1)));
                const state = advanceConfiguration(replaceConfiguration(held, loaded), history);
                assert.deepEqual(state.current, expected);
            }),
            { seed: 6, numRuns: 200 },
        );
    });

    it("can be combined into one change that builds the same configuration", () => {
        fc.assert(
            fc.property(historyArbitrary, history => {
                const built = history.reduce(applyChange, empty.current);
                const whole = { revision: built.revision, items: listItems(built) };
                assert.deepEqual(applyChange(createEmptyConfiguration(), whole), built);
            }),
            { seed: 7, numRuns: 100 },
        );
    });
});

describe("chooseBootstrapRevision", () => {
    const advertise = (nodeId: string, failureDomain: string, revision: number) => ({
        nodeId,
        failureDomain,
        revision,
    });
    it("requires several failure domains", () => {
        assert.equal(chooseBootstrapRevision([advertise("a", "x", 5), advertise("b", "x", 5)], 2), undefined);
        assert.equal(chooseBootstrapRevision([advertise("a", "x", 5), advertise("b", "y", 0)], 2), undefined);
    });
    it("returns the highest advertised revision and the nodes that have it", () => {
        const nodes = [advertise("a", "x", 5), advertise("b", "y", 7), advertise("c", "z", 7)];
        assert.deepEqual(chooseBootstrapRevision(nodes, 2), { revision: 7, nodeIds: ["b", "c"] });
    });
});
