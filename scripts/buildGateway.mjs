// Builds the gateway into a folder, target/ unless one is given: the script that starts it, its program, small so that it
// loads fast, and the code that V8 compiled from the program. V8 takes that code only under the flags it was compiled
// with: run this with the flags that deploy/system.toml starts the gateway with.
import fs from "node:fs";
import { createRequire } from "node:module";
import path from "node:path";
import vm from "node:vm";
import { build } from "esbuild";

const FOLDER = path.resolve(process.argv[2] ?? "target");
const PROGRAM = path.join(FOLDER, "gatewayProgram.cjs");

fs.mkdirSync(FOLDER, { recursive: true });
const shared = {
    outdir: FOLDER,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    keepNames: true,
    external: ["unix-dgram"],
    define: { "import.meta.url": "undefined" },
    logLevel: "error",
};
await build({ ...shared, entryPoints: { gateway: "platform/start.ts" } });
await build({
    ...shared,
    entryPoints: { gatewayProgram: "platform/main.ts" },
    banner: { js: "(function (exports, require, module) {" },
    footer: { js: "})" },
});

// The code of functions is kept if they ran, so the program is loaded once; it runs nothing by itself.
const script = new vm.Script(fs.readFileSync(PROGRAM, "utf8"), { filename: PROGRAM });
const module = { exports: {} };
script.runInThisContext()(module.exports, createRequire(PROGRAM), module);
fs.writeFileSync(path.join(FOLDER, "gatewayProgram.cache"), script.createCachedData());
process.exit(0);
