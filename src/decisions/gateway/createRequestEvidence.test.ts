import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRequestEvidence, type RequestEvidenceBook } from "./createRequestEvidence";
import { PartVerdict } from "./evaluatePart";

/** Records crashes under attempts of one request. */
function recordRepeated(book: RequestEvidenceBook, identity: string, crashes: Readonly<Record<string, number>>): void {
    const keys: string[] = [];
    for (const [key, atMs] of Object.entries(crashes)) {
        keys.push(key);
        book.recordCrash(key, { identity, parts: ["base"], keys: [...keys] }, atMs);
    }
}
const readVerdict = (book: RequestEvidenceBook, identity: string, nowMs: number) =>
    book.decideRequest(identity, nowMs).verdict;

describe("the evidence on requests", () => {
    // Guards against a first repeat that is withheld: one crash has other causes as a rule.
    it("leaves a request free after one crash, and holds it after a second one under its repeat", () => {
        const book = createRequestEvidence();
        recordRepeated(book, "a", { c1: 1_000 });
        assert.equal(readVerdict(book, "a", 1_500), PartVerdict.Free);
        recordRepeated(book, "a", { c1: 1_000, c2: 1_020 });
        assert.equal(book.computeSettleMs("a", 1_120), 150);
        assert.equal(readVerdict(book, "a", 1_120), PartVerdict.Free);
        assert.equal(readVerdict(book, "a", 1_300), PartVerdict.Held);
        assert.equal(readVerdict(book, "a", 2_100), PartVerdict.Careful);
        assert.equal(readVerdict(book, "b", 1_300), PartVerdict.Free);
    });

    // Guards against a caller that repeats a deadly request itself: its route may permit one attempt only.
    it("quarantines a request after two crashes at different times, until an answer began after them", () => {
        const book = createRequestEvidence();
        book.recordCrash("c1", { identity: "a", parts: [], keys: ["c1"] }, 1_000);
        book.recordCrash("c2", { identity: "a", parts: [], keys: ["c2"] }, 3_000);
        assert.deepEqual(book.decideRequest("a", 4_000), { verdict: PartVerdict.Quarantined, waitMs: 59_000 });
        book.recordAnswer("a", 2_500);
        assert.equal(readVerdict(book, "a", 4_000), PartVerdict.Free);
        book.recordAnswer("a", 3_500);
        assert.equal(book.isEmpty(), true);
    });

    // Guards against requests that are held for crashes of another cause, such as a failure domain that is reclaimed.
    it("holds no request while others crash without it, up to four crashes", () => {
        const book = createRequestEvidence();
        recordRepeated(book, "a", { c1: 1_000, c2: 1_020 });
        book.recordCrash("c3", undefined, 1_010);
        book.recordCrash("c4", { identity: "a", parts: [], keys: ["c4"] }, 1_030);
        assert.equal(readVerdict(book, "a", 1_400), PartVerdict.Free);
        recordRepeated(book, "b", { c5: 50_000, c6: 50_020, c7: 50_040, c8: 50_060 });
        ["c9", "c10", "c11"].forEach(key => book.recordCrash(key, undefined, 50_030));
        assert.equal(readVerdict(book, "b", 50_500), PartVerdict.Held);
    });

    // Guards against a sound request that is taken for the cause since a deadly one was beside it twice.
    it("holds neither of two requests that were at the same crashes, and the one that crashes once more", () => {
        const book = createRequestEvidence();
        recordRepeated(book, "deadly", { c1: 1_000, c2: 1_020 });
        recordRepeated(book, "sound", { c1: 1_000, c2: 1_020 });
        assert.equal(readVerdict(book, "sound", 1_400), PartVerdict.Free);
        assert.equal(readVerdict(book, "deadly", 1_400), PartVerdict.Free);
        recordRepeated(book, "deadly", { c1: 1_000, c2: 1_020, c3: 1_500 });
        book.recordAnswer("sound", 1_600);
        assert.equal(readVerdict(book, "sound", 2_000), PartVerdict.Free);
        assert.equal(readVerdict(book, "deadly", 2_000), PartVerdict.Quarantined);
    });

    // Guards against a second deadly request that is excused by the first, whose endpoints have come back meanwhile.
    it("holds a request though another one was at former crashes of the same endpoints", () => {
        const book = createRequestEvidence();
        recordRepeated(book, "first", { c1: 1_000, c2: 1_020 });
        recordRepeated(book, "second", { c1: 3_000, c2: 3_020 });
        assert.equal(readVerdict(book, "second", 3_400), PartVerdict.Held);
    });

    // Guards against six deadly requests at once that excuse each other.
    it("counts crashes of other requests that crash again for no wave", () => {
        const book = createRequestEvidence();
        for (let index = 0; index < 6; index++) {
            recordRepeated(book, `deadly-${index}`, { [`c${index}`]: 1_000, [`d${index}`]: 1_030 });
        }
        for (let index = 0; index < 6; index++) {
            assert.equal(readVerdict(book, `deadly-${index}`, 1_300), PartVerdict.Held);
        }
    });

    it("keeps a bounded number of requests, those with most crashes, and forgets what is old", () => {
        const book = createRequestEvidence();
        recordRepeated(book, "twice", { c1: 1_000, c2: 1_500 });
        for (let index = 0; index < 2_000; index++) {
            book.recordCrash("c3", { identity: `request-${index}`, parts: [], keys: ["c3"] }, 2_000);
        }
        assert.ok(book.listIdentities().length <= 256);
        assert.equal(book.hasCrashes("twice", ["c1", "c2"]), true);
        book.recordCrash("c4", { identity: "late", parts: [], keys: ["c4"] }, 10_000_000);
        assert.deepEqual(book.listIdentities(), ["late"]);
    });
});
