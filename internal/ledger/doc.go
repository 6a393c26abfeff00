// Package ledger keeps the rows of a cell in the platform's store: who owns the cell, its
// jobs and their progress. All commits of an owner form a chain on one row, which is at the
// same time lease, fence and protection against copies that the store carries out late.
package ledger
