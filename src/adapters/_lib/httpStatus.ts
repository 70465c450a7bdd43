/**
 * @module HTTP statuses that adapters and stand-ins tell apart.
 */

/** Statuses by their standard names; the first of a class stands for the bound of the class. */
export enum HttpStatus {
    Ok = 200,
    Accepted = 202,
    NoContent = 204,
    PartialContent = 206,
    FirstRedirect = 300,
    NotModified = 304,
    BadRequest = 400,
    NotFound = 404,
    Conflict = 409,
    Gone = 410,
    PreconditionFailed = 412,
    MisdirectedRequest = 421,
    TooManyRequests = 429,
    InternalServerError = 500,
    BadGateway = 502,
    ServiceUnavailable = 503,
}
