import { createPlatformStandin } from "../../standins/createPlatformStandin";
import { CONTRACT_TIMEOUTS } from "../contracts/contractSubject";
import { defineCloudContract } from "../contracts/defineCloudContract";
import { createHttpVmList } from "../httpVmList/createHttpVmList";
import { createHttpCloud } from "./createHttpCloud";

const PRICE = {
    region: "hobart",
    failureDomain: "hobart-1",
    machineClass: "standard",
    isReclaimable: true,
    microsPerHour: 900_000,
};

defineCloudContract("The HTTP cloud", async ({ vmListLagMs }) => {
    const startedTokens: string[] = [];
    const platform = await createPlatformStandin({
        vmListLagMs,
        vmStartMs: 0,
        prices: [PRICE],
        startProgram: order => {
            startedTokens.push(order.token);
            return Promise.resolve(undefined);
        },
    });
    const cloud = createHttpCloud({ ...platform, timeouts: CONTRACT_TIMEOUTS });
    const vmList = createHttpVmList({ ...platform, timeouts: CONTRACT_TIMEOUTS });
    return {
        port: cloud,
        vmList,
        faults: platform,
        listVmsBehind: platform.listVmsNow,
        countStarts: token => startedTokens.filter(other => other === token).length,
        dispose: () => {
            cloud.dispose();
            vmList.dispose();
            platform.dispose();
        },
    };
});
