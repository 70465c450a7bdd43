/**
 * @module The contract of the cloud API and of the list of VMs.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureKind } from "../../base/failure";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import type { CloudPort, VmListPort, VmStartRequest } from "../../ports/cloud";
import { FaultKind } from "../../standins/fault";
import type { ContractSubject } from "./contractSubject";
import { defineFaultCases } from "./defineFaultCases";
import { waitUntil } from "./waitUntil";

/** A cloud adapter, a VM list adapter, and a look at the VMs behind them. */
export interface CloudSubject extends ContractSubject<CloudPort> {
    readonly vmList: VmListPort;
    listVmsBehind(): readonly VmRecord[];
    /** Counts the VMs that were started for a token. */
    countStarts(token: string): number;
}

/** What the service behind the adapter is to be like. */
export interface CloudSubjectOptions {
    /** Age of the VM list in milliseconds. */
    readonly vmListLagMs: number;
}

const ORDER: VmStartRequest = {
    token: "order",
    region: "hobart",
    failureDomain: "hobart-1",
    machineClass: "standard",
    isReclaimable: true,
    role: VmRole.ModelRunner,
    serviceName: "assistant",
    version: "v1",
};

/**
 * Defines the tests that every adapter to a cloud and its VM list must pass.
 *
 * @param name - The adapters' name in the report
 * @param createSubject - Builds adapters over a cloud without VMs, with at least one price
 * @example
 * defineCloudContract("The HTTP cloud", createSubject);
 */
export function defineCloudContract(
    name: string,
    createSubject: (options: CloudSubjectOptions) => Promise<CloudSubject>,
): void {
    const withSubject = (check: (subject: CloudSubject) => Promise<void>, vmListLagMs = 0) =>
        async function checkSubject() {
            const subject = await createSubject({ vmListLagMs });
            try {
                await check(subject);
            } finally {
                subject.dispose();
            }
        };
    const startVms = async ({ port, listVmsBehind }: CloudSubject, orders: readonly VmStartRequest[]) => {
        const started = await Promise.all(orders.map(order => port.startVm(order)));
        await waitUntil(() => listVmsBehind().length >= orders.length, "the VMs are live");
        return started.map(result => result._unsafeUnwrap().vmId);
    };

    void describe(`${name} starts and stops VMs`, () => {
        void it(
            "one for a token, however often it is ordered",
            withSubject(async subject => {
                const first = (await subject.port.startVm(ORDER))._unsafeUnwrap();
                const again = (await subject.port.startVm(ORDER))._unsafeUnwrap();
                assert.equal(again.vmId, first.vmId);
                assert.equal(subject.countStarts(ORDER.token), 1);
            }),
        );
        void it(
            "that stand where and for what they were ordered, until they are stopped",
            withSubject(async subject => {
                const [vmId] = await startVms(subject, [ORDER]);
                const vm = (await subject.vmList.listVms())._unsafeUnwrap()[0]!;
                assert.deepEqual({ ...vm, ...ORDER }, { ...vm, vmId, state: VmState.Live, token: ORDER.token });
                assert.ok((await subject.port.stopVm(vmId!)).isOk());
                assert.deepEqual((await subject.vmList.listVms())._unsafeUnwrap(), []);
            }),
        );
        void it(
            "and refuses starts in the failure domain without capacity only",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.StartRefused, failureDomain: "hobart-1" }]);
                const refused = await subject.port.startVm(ORDER);
                assert.equal(refused._unsafeUnwrapErr().kind, FailureKind.PlatformRefused);
                const other = await subject.port.startVm({ ...ORDER, token: "other", failureDomain: "burnie-1" });
                assert.ok(other.isOk());
                assert.equal(subject.countStarts(ORDER.token), 0);
            }),
        );
        void it(
            "and lists prices",
            withSubject(async ({ port }) => {
                const prices = (await port.listPrices())._unsafeUnwrap();
                assert.ok(prices.length > 0 && prices.every(price => price.microsPerHour > 0));
            }),
        );
    });

    void describe(`${name} tells of VMs that leave`, () => {
        void it(
            "in a wave over a failure domain's reclaimable VMs, which then go",
            withSubject(async subject => {
                const [first, second] = await startVms(subject, [
                    ORDER,
                    { ...ORDER, token: "b" },
                    { ...ORDER, token: "on-demand", isReclaimable: false },
                    { ...ORDER, token: "elsewhere", failureDomain: "burnie-1" },
                ]);
                subject.faults.setFaults([{ kind: FaultKind.ReclaimNotice, failureDomain: "hobart-1", delayMs: 300 }]);
                const notices = (await subject.port.listReclaimNotices())._unsafeUnwrap();
                assert.deepEqual(notices.map(notice => notice.vmId).sort(), [first, second].sort());
                const listed = (await subject.vmList.listVms())._unsafeUnwrap();
                const leaving = listed.filter(vm => vm.state === VmState.Leaving);
                assert.deepEqual(
                    leaving.map(vm => vm.reclaimAtWallMs).sort(),
                    notices.map(notice => notice.reclaimAtWallMs).sort(),
                );
                await waitUntil(() => subject.listVmsBehind().length === 2, "the reclaimed VMs are gone");
            }),
        );
        void it(
            "late, by the lag of the list",
            withSubject(async subject => {
                await startVms(subject, [ORDER]);
                assert.deepEqual((await subject.vmList.listVms())._unsafeUnwrap(), []);
            }, 60_000),
        );
        void it(
            "and the list is unavailable while the platform is down",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.Down }]);
                const failure = (await subject.vmList.listVms())._unsafeUnwrapErr();
                assert.equal(failure.kind, FailureKind.StoreUnavailable);
            }),
        );
    });

    defineFaultCases<CloudSubject>({
        title: `${name}: starts`,
        createSubject: () => createSubject({ vmListLagMs: 0 }),
        runCall: ({ port }, label) => port.startVm({ ...ORDER, token: label }),
        countEffects: (subject, label) => subject.countStarts(label),
        expectFailure: (failure, { isKnownWithoutEffect }) =>
            assert.equal(
                failure.kind,
                isKnownWithoutEffect ? FailureKind.StoreUnavailable : FailureKind.StoreOutcomeUnknown,
            ),
    });
}
