import { simulateQuarantine } from "/work/h-poison/src/gateway/_testing/simulateQuarantine";
const base = { nodes: 5, endpoints: 12, requestsPerSecond: 40, durationMs: 40_000, deadlyShare: 0.15, deadlyFromMs: 15_000, harmlessShare: 0.15, crashesPerSecond: 0, resetsPerSecond: 0, lossShare: 0.1, restartsPerSecond: 0 };
const change = process.argv[3] === "noise" ? { crashesPerSecond: 0.3, resetsPerSecond: 0.5, lossShare: 0.3 } : {};
const r = await simulateQuarantine({ ...base, ...change, seed: Number(process.argv[2]), write: l => { if (/quarantined|released|suspected prompt/.test(l)) console.log(l.replace(/^.*Z /, "")); } });
console.log(JSON.stringify(r));
