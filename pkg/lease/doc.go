// Package lease keeps the ownership of a failure domain and fences older owners at workers.
package lease
