import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { mergeSuspects, sumClearances } from "../relays/mergeSuspects";
import type { SuspectParts } from "../relays/news";
import { createPartEvidence, type PartEvidenceBook } from "./createPartEvidence";
import { evaluatePart } from "./evaluatePart";

const isQuarantined = (book: PartEvidenceBook, part: string, nowMs: number) =>
    book.findFacts(part, nowMs)?.isQuarantined ?? false;

/** Lets all nodes learn what each of them reports. */
function mergeAll(books: readonly PartEvidenceBook[], nowMs: number): void {
    const view = mergeSuspects(
        books.map(book => book.readEvidence(nowMs)),
        sumClearances,
    );
    books.forEach(book => book.merge(view, nowMs));
}

describe("the evidence on prompt parts", () => {
    it("convicts a part after two separate crashes, and not after one or two of one moment", () => {
        const book = createPartEvidence();
        book.recordCrash("c1", ["deadly"], 1_000);
        book.recordCrash("c2", ["deadly"], 1_100);
        assert.equal(isQuarantined(book, "deadly", 5_000), false);
        book.recordCrash("c3", ["deadly"], 5_000);
        assert.equal(isQuarantined(book, "deadly", 5_000), true);
    });

    // Guards against the quarantine of parts that happen to be in progress wherever an endpoint crashes.
    it("convicts no part that answers refute between the crashes, and none that another part explains", () => {
        const book = createPartEvidence();
        book.recordCrash("c1", ["base", "deadly"], 1_000);
        book.recordClearance(["base"], 1_500, 1_900);
        book.recordCrash("c2", ["base", "deadly"], 3_000);
        assert.equal(isQuarantined(book, "deadly", 3_100), true);
        assert.equal(isQuarantined(book, "base", 3_100), false);
        book.recordCrash("c3", ["base", "deadly"], 4_000);
        assert.equal(book.findFacts("base", 9_000), undefined);
    });

    // Guards against an answer of long ago that keeps a part free that crashes endpoints now.
    it("convicts a part that was harmless for long", () => {
        const book = createPartEvidence();
        for (let atMs = 0; atMs < 60_000; atMs += 100) {
            book.recordClearance(["base", "turned"], atMs, atMs);
        }
        for (let crash = 0; crash < 4; crash++) {
            book.recordCrash(`c${crash}`, ["base", "turned"], 61_000 + crash * 500);
            book.recordClearance(["base"], 61_300 + crash * 500, 61_300 + crash * 500);
        }
        assert.equal(isQuarantined(book, "turned", 63_000), true);
        assert.equal(isQuarantined(book, "base", 63_000), false);
    });

    it("frees a part at all nodes after an answer at one of them, or at an operator's order", () => {
        for (const free of ["answer", "order"]) {
            const books = [createPartEvidence(), createPartEvidence(), createPartEvidence()];
            books[0]?.recordCrash("c1", ["deadly"], 1_000);
            books[1]?.recordCrash("c2", ["deadly"], 2_000);
            mergeAll(books, 3_000);
            assert.deepEqual(
                books.map(book => isQuarantined(book, "deadly", 3_000)),
                [true, true, true],
            );
            if (free === "answer") {
                books[2]?.recordClearance(["deadly"], 70_000, 70_300);
            } else {
                books[2]?.release("deadly", 70_300);
            }
            mergeAll(books, 70_500);
            mergeAll(books, 71_000);
            assert.deepEqual(
                books.map(book => book.findFacts("deadly", 71_000)),
                [undefined, undefined, undefined],
            );
        }
    });

    // Guards against a node that sends requests with a quarantined part because it has just started.
    it("is known to a new node after one view, and is not lost with the node that saw the crashes", () => {
        const [first, second, third] = [createPartEvidence(), createPartEvidence(), createPartEvidence()];
        first.recordCrash("c1", ["deadly"], 1_000);
        first.recordCrash("c2", ["deadly"], 2_000);
        mergeAll([first, second], 3_000);
        mergeAll([second, third], 50_000);
        assert.equal(isQuarantined(third, "deadly", 50_000), true);
    });

    it("stays within its bounds, whatever is reported, and forgets what is old", () => {
        const book = createPartEvidence();
        for (let index = 0; index < 3_000; index++) {
            book.recordCrash(`c${index}`, [`p${index % 400}`, "base"], index);
            book.recordClearance([`p${index}`], index, index);
        }
        assert.ok(book.listParts().length <= 64);
        book.readEvidence(10_000_000);
        assert.deepEqual(book.listParts(), []);
    });

    // Guards against views that a lost, repeated or late message makes differ for good.
    it("settles on one verdict at all nodes, in whatever order reports come", () => {
        const event = fc.record({
            node: fc.nat(2),
            kind: fc.constantFrom("crash", "clear", "report", "deliver"),
            key: fc.nat(5),
            part: fc.constantFrom("a", "b", "c"),
            report: fc.nat(9),
        });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 60 }), events => {
                const books = [createPartEvidence(), createPartEvidence(), createPartEvidence()];
                const reports: { readonly atMs: number; readonly content: SuspectParts }[] = [];
                let nowMs = 10_000;
                for (const { node, kind, key, part, report } of events) {
                    nowMs += 97;
                    const book = books[node];
                    const late = reports[report];
                    if (kind === "crash") {
                        book?.recordCrash(`c${key}`, [part], nowMs);
                    } else if (kind === "clear") {
                        book?.recordClearance([part], nowMs - 50, nowMs);
                    } else if (kind === "report" && book !== undefined) {
                        reports.push({ atMs: nowMs, content: book.readEvidence(nowMs) });
                    } else if (late !== undefined) {
                        book?.merge(late.content, nowMs);
                    }
                }
                for (let round = 0; round < 4; round++) {
                    nowMs += 500;
                    mergeAll(books, nowMs);
                }
                for (const part of ["a", "b", "c"]) {
                    const crashes = books.map(book =>
                        Object.keys(book.readEvidence(nowMs)[part]?.crashes ?? {})
                            .filter(key => !key.endsWith("!"))
                            .sort(),
                    );
                    assert.deepEqual(crashes[1], crashes[0]);
                    assert.deepEqual(crashes[2], crashes[0]);
                }
            }),
            { numRuns: 300, seed: 21 },
        );
    });
});

describe("a long quarantine", () => {
    // Guards against evidence that is forgotten before a node may try the part, so that all nodes send it at once.
    it("is remembered until the turn of every node to try the part, at any size of the fleet", () => {
        for (const nodes of [9, 200, 400]) {
            for (const share of [0, 0.5, 0.99]) {
                const book = createPartEvidence();
                const crashes = [1_000, 2_000, 70_000, 200_000, 450_000];
                crashes.forEach((atMs, index) => book.recordCrash(`c${index}`, ["deadly"], atMs));
                book.readEvidence(451_000);
                const { waitMs } = evaluatePart(book.findFacts("deadly", 451_000), { share, nodes }, 451_000);
                assert.ok(waitMs > 0);
                book.readEvidence(451_000 + waitMs);
                assert.notEqual(
                    book.findFacts("deadly", 451_000 + waitMs),
                    undefined,
                    `${nodes} nodes, share ${share}`,
                );
            }
        }
    });
});
