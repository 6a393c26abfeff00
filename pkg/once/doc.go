// Package once makes non-idempotent requests run at most once by means of idempotency keys.
//
// A request claims its key by inserting a row before it is sent, and its response is stored in that
// row. A repeated request gets the stored response, or the result that the first request may have
// run.
package once
