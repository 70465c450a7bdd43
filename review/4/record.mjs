// The record of a script: what was sent, answered and run, with seconds since the begin.
import fs from "node:fs";
import path from "node:path";

/** Exit code for a broken rule; `run.sh` makes it 1. An error of the script itself has another one, and becomes 2. */
export const BROKEN = 11;

/** Creates the record `record.txt` in the folder of a case. */
export function createRecord(folder) {
    const lines = [];
    const beganAt = performance.now();
    return {
        add: text => lines.push(`${((performance.now() - beganAt) / 1000).toFixed(3)} ${text}`),
        write: () => fs.writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`),
    };
}
