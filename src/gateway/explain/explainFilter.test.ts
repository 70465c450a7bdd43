import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ChoiceRule } from "../../decisions/gateway/explainChoice";
import { createManualClock } from "../../base/createManualClock";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { createEndpointRecord } from "../endpoints/endpointRecord";
import { PickStage } from "../forwarding/createCandidatePicker";
import type { PickOutcome } from "./createPickExplainer";
import { explainFilter, type FilterQuestion } from "./explainFilter";
import { CandidateFilter } from "./explanation";

describe("the filter of an endpoint that the last steps leave out", () => {
    const record = createEndpointRecord(
        makeEndpoint("i-1", { failureDomain: "far" }),
        { roundTripMs: 2, penaltyMs: 5 },
        createManualClock(),
    );
    const explain = (domain: string | undefined) => {
        const stages = new Map(
            [PickStage.Model, PickStage.Placement, PickStage.Tried, PickStage.Wait, PickStage.Version].map(stage => [
                stage,
                new Set([record]),
            ]),
        );
        stages.set(PickStage.Reachable, new Set([record])).set(PickStage.Domain, new Set());
        const outcome: PickOutcome = {
            domain,
            chance: 1,
            records: [],
            stages,
            rule: ChoiceRule.Only,
            endpoints: new Map(),
            noCandidate: undefined,
        };
        return explainFilter(record, { outcomes: [outcome] } as unknown as FilterQuestion).filter;
    };

    // Guards against: an endpoint that fails counts as left out for its place, though requests go to any failure domain.
    it("is its place only if no request goes there", () => {
        assert.equal(explain("near"), CandidateFilter.OtherDomain);
        assert.equal(explain("far"), CandidateFilter.Failing);
        assert.equal(explain(undefined), CandidateFilter.Failing);
    });
});
