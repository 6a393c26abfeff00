// Package ledger stores the state of a cell as rows in the platform's store: the owner, the jobs
// and their progress. Every commit of an owner also checks and replaces the owner's row. That row
// therefore serves as the lease, fences off former owners, and keeps a copy of a commit that the
// store applies late from taking effect.
package ledger
