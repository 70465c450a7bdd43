// Installs the locked packages when node_modules is missing or older than the lock file.
import { spawnSync } from "node:child_process";
import fs from "node:fs";

const marker = "node_modules/.package-lock.json";
const isFresh = fs.existsSync(marker) && fs.statSync(marker).mtimeMs >= fs.statSync("package-lock.json").mtimeMs;
if (!isFresh) {
    const run = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
    if (run.status !== 0) {
        process.exit(run.status ?? 1);
    }
    fs.utimesSync(marker, new Date(), new Date());
}
