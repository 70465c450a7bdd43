// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): rows, conditional writes and feeds.
// It keeps the operator's and the runners' rows as well, which the test writes directly.
import http from "node:http";

/** Starts the store on a loopback address; `onCall` sees each call before it is handled. */
export async function startStore(address, onCall = () => undefined) {
    const rows = new Map();
    const waiting = new Set();
    let revision = 1;
    const wakeAll = () => [...waiting].forEach(wake => wake());
    const listRows = table =>
        [...rows.values()].filter(row => row.table === table).sort((left, right) => (left.key < right.key ? -1 : 1));
    const show = row => ({ ...row, part: "", ...(row.value === undefined ? { deleted: true } : {}) });
    const answer = body => ({ ...body, rowVersion: revision, nowMs: performance.now() });
    const commit = ({ expectedRev = [], puts = [], remove = [] }) => {
        const readVersion = ({ table, key }) => {
            const row = rows.get(`${table}|${key}`);
            return row?.value === undefined ? 0 : row.rowVersion;
        };
        if ([...puts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
            return [403, {}];
        }
        if (expectedRev.some(row => readVersion(row) !== row.rowVersion)) {
            return [412, answer({ rows: [] })];
        }
        revision++;
        puts.forEach(({ table, key, value }) =>
            rows.set(`${table}|${key}`, { table, key, value, rowVersion: revision }),
        );
        remove.forEach(({ table, key }) =>
            rows.set(`${table}|${key}`, { table, key, value: undefined, rowVersion: revision }),
        );
        setImmediate(wakeAll);
        return [200, answer({})];
    };
    const feed = async (table, since, waitMs) => {
        const list = () => listRows(table).filter(row => row.rowVersion > since);
        const untilMs = performance.now() + Math.min(waitMs, 30_000);
        while (list().length === 0 && performance.now() < untilMs) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, untilMs - performance.now());
                waiting.add(wake);
            });
        }
        return [200, answer({ rows: list().map(show) })];
    };
    const handle = (path, query, body) => {
        const table = query.get("table") ?? "";
        if (path === "/-/rows-tx") {
            return commit(JSON.parse(body));
        }
        if (path === "/-/rows-feed") {
            return feed(table, Number(query.get("sinceRev")), Number(query.get("waitMs")));
        }
        if (path === "/-/rows-get") {
            const [source, target] = [query.get("source") ?? "", query.get("target")];
            const found = listRows(table).filter(
                ({ key, value }) => value !== undefined && key >= source && (target === null || key < target),
            );
            return [200, answer({ rows: found.slice(0, 500).map(show), hasMore: found.length > 500 })];
        }
        return [404, {}];
    };
    const server = http.createServer((request, response) => {
        const url = new URL(request.url, "http://store");
        let body = "";
        request.on("data", chunk => (body += String(chunk)));
        request.on("end", async () => {
            onCall(request.method, url, body);
            const [status, content] = await handle(url.pathname, url.searchParams, body);
            response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(content));
        });
    });
    await new Promise(resolve => server.listen(0, address, resolve));
    return {
        address: `${address}:${server.address().port}`,
        /** Writes a row as the operator or a runner does; removes it without a value. */
        put: (table, key, value) => {
            revision++;
            const text = value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64");
            rows.set(`${table}|${key}`, { table, key, value: text, rowVersion: revision });
            wakeAll();
            return revision;
        },
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}
