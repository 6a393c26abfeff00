// Package once makes non-idempotent requests run at most once.
package once
