/**
 * @module Detects loopback addresses.
 */
import net from "node:net";

const LOOPBACK_ADDRESSES = createLoopbackList();

/**
 * Tells whether a host is a loopback address of this machine.
 *
 * @param host - IP address, with or without the brackets of a URL, or `localhost`
 * @returns True for 127.0.0.0/8, ::1 and `localhost`
 * @example
 * isLoopbackAddress("[::1]"); //=> true
 */
export function isLoopbackAddress(host: string): boolean {
    const address = host.replace(/^\[|\]$/g, "");
    const family = net.isIP(address);
    return family === 0 ? address === "localhost" : LOOPBACK_ADDRESSES.check(address, family === 6 ? "ipv6" : "ipv4");
}

function createLoopbackList(): net.BlockList {
    const list = new net.BlockList();
    list.addSubnet("127.0.0.0", 8, "ipv4");
    list.addAddress("::1", "ipv6");
    return list;
}
