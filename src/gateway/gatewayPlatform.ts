/**
 * @module What a gateway needs of the platform.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { EvacuationChange, GatewayConfiguration, GatewayEndpoint, GatewaySettings } from "../model/gateway";
import type { DutyPort } from "../ports/duties";
import type { ForwardingCodec } from "../ports/forwardingCodec";
import type { RolloutRecordsPort } from "../ports/rolloutRecords";
import type { TablePort } from "../ports/table";
import type { WatchedRow, WatchedTablePort } from "../ports/watchedTable";
import type { OrderChange } from "./rollouts/rollouts";

/** The adapters and table names that `platform/` provides. */
export interface GatewayPlatform {
    /** Reads the current settings. */
    readonly readSettings: () => Result<GatewaySettings, Failure>;
    readonly tables: TablePort & WatchedTablePort;
    /** Absent where this node has no duties. */
    readonly cloud: DutyPort | undefined;
    readonly rolloutRecords: RolloutRecordsPort;
    readonly codec: ForwardingCodec;
    readonly configurationTable: string;
    readonly endpointTable: string;
    /** Gives the configuration, or why it can't be read; `undefined` for any other row. */
    readonly decodeConfigurationRow: (row: WatchedRow) => Result<GatewayConfiguration, Failure> | undefined;
    /** Gives the order for a service, or its removal; `undefined` for any other row, and for a malformed one. */
    readonly decodeRolloutRow: (row: WatchedRow) => OrderChange | undefined;
    /** Gives the order to evacuate a failure domain, or its cancellation; `undefined` for any other row. */
    readonly decodeEvacuationRow: (row: WatchedRow) => EvacuationChange | undefined;
    readonly decodeEndpointRow: (row: WatchedRow) => GatewayEndpoint | undefined;
}
