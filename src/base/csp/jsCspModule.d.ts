declare module "js-csp" {
    const csp: unknown;
    export default csp;
}
