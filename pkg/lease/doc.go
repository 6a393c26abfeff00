// Package lease keeps the ownership of a failure domain and fences older owners at workers.
//
// Keeper acquires, renews and hands over the row that names the owner. Reach decides, for the
// owner, when a task may be started again without running twice.
package lease
