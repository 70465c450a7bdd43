import { VmRole } from "../../model/endpoint";
import { createModelRunnerStandin } from "../../standins/createModelRunnerStandin";
import { CONTRACT_TIMEOUTS } from "../contracts/contractSubject";
import { createEndpoint } from "../contracts/createEndpoint";
import { defineGenerationContract } from "../contracts/defineGenerationContract";
import { defineModelRunnerContract } from "../contracts/defineModelRunnerContract";
import type { ModelRunnerSubject } from "../contracts/modelRunnerSubject";
import { createHttpModelRunner } from "./createHttpModelRunner";

async function createSubject(): Promise<ModelRunnerSubject> {
    const engine = { tokenGapMs: 1, tokenGapPerSequenceMs: 0, prefillTokensPerSecond: 1_000_000 };
    const runner = await createModelRunnerStandin({ engine });
    const otherRunner = await createModelRunnerStandin({ engine, transferBytesPerSecond: 1e12 });
    const adapter = createHttpModelRunner({ timeouts: CONTRACT_TIMEOUTS });
    return {
        port: adapter,
        faults: runner,
        endpoint: createEndpoint(VmRole.ModelRunner, runner),
        otherEndpoint: createEndpoint(VmRole.ModelRunner, otherRunner),
        countOrders: token => runner.listExecutedOrders().filter(order => order.token === token).length,
        countActive: runner.countActive,
        countStarts: runner.countStarts,
        countConnections: runner.countConnections,
        countPrefilledElsewhere: otherRunner.countPrefilledTokens,
        dispose: () => {
            adapter.dispose();
            runner.dispose();
            otherRunner.dispose();
        },
    };
}

defineGenerationContract("The HTTP model runner", createSubject);
defineModelRunnerContract("The HTTP model runner", createSubject);
