import { createPlatformStandin } from "../../standins/createPlatformStandin";
import { CONTRACT_TIMEOUTS } from "../contracts/contractSubject";
import { defineObjectsContract } from "../contracts/defineObjectsContract";
import { createHttpObjects } from "./createHttpObjects";

defineObjectsContract("The HTTP object store", async () => {
    const platform = await createPlatformStandin();
    const objects = createHttpObjects({ ...platform, timeouts: CONTRACT_TIMEOUTS });
    return {
        port: objects,
        faults: platform,
        readObjectBehind: key => platform.objects.get(key),
        dispose: () => {
            objects.dispose();
            platform.dispose();
        },
    };
});
