import { simulateQuarantine } from "/work/h-poison/src/gateway/_testing/simulateQuarantine";
const base = { seed: 1, nodes: 5, endpoints: 12, requestsPerSecond: 40, durationMs: 40_000, deadlyShare: 0.15, deadlyFromMs: 4_000, harmlessShare: 0, crashesPerSecond: 0, resetsPerSecond: 0, lossShare: 0.1, restartsPerSecond: 0 };
const cases: Record<string, object> = {
  plain: {}, nine: { nodes: 9, requestsPerSecond: 90 }, noise: { crashesPerSecond: 0.3, resetsPerSecond: 0.5, restartsPerSecond: 0.1, lossShare: 0.3 },
  onlynoise: { deadlyShare: 0, crashesPerSecond: 0.8, resetsPerSecond: 0.5 }, turned: { harmlessShare: 0.15, deadlyFromMs: 15_000 }, turnednoise: { harmlessShare: 0.15, deadlyFromMs: 15_000, crashesPerSecond: 0.3, resetsPerSecond: 0.5, lossShare: 0.3 }, light: { deadlyShare: 0.02, durationMs: 60_000 }, heavy: { deadlyShare: 0.5 },
};
for (const [name, change] of Object.entries(cases)) for (let seed = 1; seed <= Number(process.argv[2] ?? 3); seed++) {
  const t = Date.now();
  const r = await simulateQuarantine({ ...base, ...change, seed });
  console.log(name, seed, JSON.stringify(r), Date.now() - t, "ms");
}
