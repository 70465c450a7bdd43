// Builds target/gateway.cjs: the gateway as one script, small so that it starts fast.
import fs from "node:fs";
import { build } from "esbuild";

fs.mkdirSync("target", { recursive: true });
await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/gateway.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    keepNames: true,
    external: ["unix-dgram"],
    define: { "import.meta.url": "undefined" },
    logLevel: "error",
});
