import { createPlatformStandin } from "../../standins/createPlatformStandin";
import { CONTRACT_TIMEOUTS } from "../contracts/contractSubject";
import { defineTableContract } from "../contracts/defineTableContract";
import { createHttpTable } from "./createHttpTable";

defineTableContract("The HTTP table", async options => {
    const platform = await createPlatformStandin(options);
    const table = createHttpTable({ ...platform, timeouts: CONTRACT_TIMEOUTS });
    return {
        port: table,
        faults: platform,
        readRowBehind: key => platform.rows.get(key),
        dispose: () => {
            table.dispose();
            platform.dispose();
        },
    };
});
