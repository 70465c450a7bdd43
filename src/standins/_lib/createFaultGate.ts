/**
 * @module Decides which calls of a stand-in a fault strikes.
 */
import type { Clock } from "../../base/clock";
import { createRandom } from "../../base/createRandom";
import type { FaultFacts, FaultKind, FaultRule } from "../fault";

/** The rules in force and how often they have struck. */
export interface FaultGate {
    /** Replaces the rules; counts and times start anew. */
    setRules(rules: readonly FaultRule[]): void;
    readRules(): readonly FaultRule[];
    /** Gives the first rule of a kind that strikes now, and counts the strike. */
    strike(kind: FaultKind, facts?: FaultFacts): FaultRule | undefined;
}

interface ActiveRule {
    readonly rule: FaultRule;
    readonly setAtMs: number;
    strikes: number;
}

/**
 * Creates a gate without rules.
 *
 * @param options - The clock for `afterMs` and the seed for `share`
 * @returns The gate
 * @example
 * const gate = createFaultGate({ clock, seed: 1 });
 * gate.setRules([{ kind: FaultKind.Slow, delayMs: 50, times: 1 }]);
 * gate.strike(FaultKind.Slow)?.delayMs; //=> 50
 */
export function createFaultGate(options: { readonly clock: Clock; readonly seed: number }): FaultGate {
    const random = createRandom(options.seed);
    let active: readonly ActiveRule[] = [];
    return {
        setRules: rules => {
            const setAtMs = options.clock.readMonotonicMs();
            active = rules.map(rule => ({ rule, setAtMs, strikes: 0 }));
        },
        readRules: () => active.map(entry => entry.rule),
        strike: (kind, facts = {}) => {
            const nowMs = options.clock.readMonotonicMs();
            const found = active.find(
                entry =>
                    entry.rule.kind === kind &&
                    isDue(entry, nowMs) &&
                    isMatch(entry.rule, facts) &&
                    (entry.rule.share === undefined || random.drawFraction() < entry.rule.share),
            );
            if (found === undefined) {
                return undefined;
            }
            found.strikes++;
            return found.rule;
        },
    };
}

function isDue(entry: ActiveRule, nowMs: number): boolean {
    const { afterMs, times } = entry.rule;
    return nowMs - entry.setAtMs >= (afterMs ?? 0) && (times === undefined || entry.strikes < times);
}

function isMatch(rule: FaultRule, facts: FaultFacts): boolean {
    return (
        (rule.route === undefined || (facts.route ?? "").startsWith(rule.route)) &&
        (rule.version === undefined || rule.version === facts.version) &&
        (rule.promptText === undefined || (facts.promptText ?? "").includes(rule.promptText)) &&
        (rule.failureDomain === undefined || rule.failureDomain === facts.failureDomain) &&
        (rule.minimumRunning === undefined || (facts.running ?? 0) >= rule.minimumRunning)
    );
}
