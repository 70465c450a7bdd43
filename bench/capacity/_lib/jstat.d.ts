/** The parts of jstat that the fits use; the package has no types of its own. */
declare module "jstat" {
    interface Fit {
        readonly coef: readonly number[];
        readonly t: { readonly se: readonly number[] };
    }
    interface JStat {
        mean(values: readonly number[]): number;
        stdev(values: readonly number[], isSample: boolean): number;
        readonly models: { ols(values: readonly number[], rows: readonly (readonly number[])[]): Fit };
    }
    const jStat: JStat;
    export default jStat;
}
