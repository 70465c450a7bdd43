import { VmRole } from "../../model/endpoint";
import { createApplicationRunnerStandin } from "../../standins/createApplicationRunnerStandin";
import { CONTRACT_TIMEOUTS } from "../contracts/contractSubject";
import { createEndpoint } from "../contracts/createEndpoint";
import { defineApplicationRunnerContract } from "../contracts/defineApplicationRunnerContract";
import { createHttpApplicationRunner } from "./createHttpApplicationRunner";

defineApplicationRunnerContract("The HTTP application runner", async () => {
    const runner = await createApplicationRunnerStandin({ latencyMs: 1 });
    const adapter = createHttpApplicationRunner({ timeouts: CONTRACT_TIMEOUTS });
    return {
        port: adapter,
        faults: runner,
        endpoint: createEndpoint(VmRole.ApplicationRunner, runner),
        countExecutions: runner.countExecutions,
        countConnections: runner.countConnections,
        dispose: () => {
            adapter.dispose();
            runner.dispose();
        },
    };
});
