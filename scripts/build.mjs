// Builds dist/redwinglift: bundles src/main.ts into one script and injects it into a copy of the Node executable.
import { execFileSync } from "node:child_process";
import fs from "node:fs";
import path from "node:path";
import { build } from "esbuild";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2"; // Node's documented marker for injected programs

const { version } = JSON.parse(fs.readFileSync("package.json", "utf8"));
fs.mkdirSync("dist", { recursive: true });
const programs = [
    ["src/main.ts", "redwinglift"],
    ["src/standins/main.ts", "redwinglift-standins"],
].filter(([entry]) => fs.existsSync(entry));
for (const [entry, name] of programs) {
    await buildProgram(entry, name);
}

async function buildProgram(entry, name) {
    const script = `dist/${name}.cjs`;
    await build({
        entryPoints: [entry],
        outfile: script,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        minifySyntax: true,
        sourcemap: false,
        external: ["unix-dgram"],
        define: { "process.env.REDWINGLIFT_VERSION": JSON.stringify(version), "import.meta.url": "undefined" },
        logLevel: "error",
    });
    const blob = `dist/${name}.blob`;
    const config = `dist/${name}.sea.json`;
    fs.writeFileSync(config, JSON.stringify({ main: script, output: blob, disableExperimentalSEAWarning: true }));
    execFileSync(process.execPath, ["--experimental-sea-config", config], { stdio: "pipe" });
    const target = path.join("dist", name);
    fs.rmSync(target, { force: true });
    fs.copyFileSync(process.execPath, target);
    fs.chmodSync(target, 0o755);
    execFileSync(
        process.execPath,
        ["node_modules/postject/dist/cli.js", target, "NODE_SEA_BLOB", blob, "--sentinel-fuse", SEA_FUSE],
        { stdio: "pipe" },
    );
    fs.rmSync(blob);
    fs.rmSync(config);
    console.log(`built ${target}`);
}
