// Package once makes non-idempotent requests run at most once.
//
// A request claims its key by inserting a row before it is sent; the answer is recorded in that
// row. A repeat gets the recorded answer, or learns that the first request may have run.
package once
