/**
 * @module The command line.
 */
import { cac } from "cac";

const program = cac("redwinglift");
program.version(process.env["REDWINGLIFT_VERSION"] ?? "development");
program.help();
program.parse();
