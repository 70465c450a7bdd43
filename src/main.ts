/**
 * @module The program's entry. A node handles signals before its program is loaded; the other commands keep their defaults.
 */
import { installSignalHandlers } from "./base/installSignalHandlers";

const SERVE_COMMAND = "serve";

const signals = process.argv[2] === SERVE_COMMAND ? installSignalHandlers() : undefined;
void import("./runProgram").then(({ runProgram }) => runProgram(signals));
