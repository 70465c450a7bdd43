/**
 * @module The command line of the stand-ins, for tests and benches that run and kill them as processes of their own.
 */
import { cac } from "cac";
import { ExitCode } from "../cli/exitCode";
import { createStandinFleet, type StandinFleet } from "./createStandinFleet";
import { parseFleetOptions } from "./parseFleetOptions";

const EXIT_INVALID_SETTINGS = 2;

const program = cac("redwinglift-standins");
program
    .command("", "Start a platform stand-in and runner stand-ins on loopback")
    .option("--platform-port <port>", "Port of the platform (0: chosen by the system)", { default: 0 })
    .option("--control-port <port>", "Port of the platform's /faults that answers also while it is down", {
        default: 0,
    })
    .option("--model-runners <ports>", "Ports of the model runners, comma-separated; 0 for any", { default: "0,0,0" })
    .option("--application-runners <ports>", "Ports of the application runners, comma-separated", { default: "0" })
    .option("--failure-domains <names>", "region/failure-domain, comma-separated; VMs are spread over them", {
        default: "region-1/domain-1,region-2/domain-2,region-3/domain-3",
    })
    .option("--model-service <name>", "Service of the model runners", { default: "assistant" })
    .option("--application-service <name>", "Service of the application runners", { default: "register" })
    .option("--service-version <version>", "Version that the runners serve", { default: "v1" })
    .option("--machine-class <name>", "Machine class of the VMs", { default: "standard" })
    .option("--token-gap-ms <milliseconds>", "Time between tokens of a stream that is alone", { default: 12 })
    .option("--prefill-tokens-per-second <tokens>", "Prefill speed of a model runner", { default: 8_000 })
    .option("--maximum-running <sequences>", "Most generations in the batch of a model runner", { default: 64 })
    .option("--latency-ms <milliseconds>", "Shortest duration of a call to an application runner", { default: 5 })
    .option("--vm-list-lag-ms <milliseconds>", "Age of the list of VMs", { default: 2_000 })
    .option("--ignore-fencing", "Model runners carry out orders with old fencing tokens")
    .option("--seed <number>", "Seed of everything random", { default: 1 })
    .example("redwinglift-standins --platform-port 7000 --model-runners 7101,7102,7103")
    .action(async (flags: Record<string, unknown>) => {
        const parsed = parseFleetOptions(flags);
        if (parsed.isErr()) {
            process.stderr.write(`${parsed.error.message}\n`);
            process.exitCode = EXIT_INVALID_SETTINGS;
            return;
        }
        const fleet = await createStandinFleet(parsed.value).catch(endFailedStart);
        process.stdout.write(`${JSON.stringify(describeFleet(fleet))}\n`);
        const stop = () => fleet.dispose();
        process.once("SIGTERM", stop);
        process.once("SIGINT", stop);
    });
program.help();
program.version(process.env["REDWINGLIFT_VERSION"] ?? "development");
program.parse();

/** Ends the process with one line: stand-ins that listen in part would look like a platform with faults. */
function endFailedStart(error: unknown): never {
    process.stderr.write(`The stand-ins can't start: ${error instanceof Error ? error.message : "unknown error"}\n`);
    process.exit(ExitCode.AddressUnavailable);
}

function describeFleet({ platform, modelRunners, applicationRunners }: StandinFleet): object {
    const { address, port, controlPort } = platform;
    const runners = platform.listVmsNow().map(vm => ({
        ...vm,
        controlPort: (modelRunners.get(vm.vmId) ?? applicationRunners.get(vm.vmId))?.controlPort,
    }));
    return { platform: { address, port, controlPort }, runners };
}
