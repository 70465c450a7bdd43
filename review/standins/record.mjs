// The record of a script: what was sent, answered and run, with seconds since the begin.
import fs from "node:fs";
import path from "node:path";

/** Creates the record `record.txt` in the folder of a case. */
export function createRecord(folder) {
    const lines = [];
    const beganAt = performance.now();
    return {
        add: text => lines.push(`${((performance.now() - beganAt) / 1000).toFixed(3)} ${text}`),
        write: () => fs.writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`),
    };
}
