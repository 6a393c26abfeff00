// Package table is the client of the platform's table service, object store and instance list.
//
// Client makes single calls and resolves commits whose response was lost. GroupCommitter combines
// the writes of one instance into few transactions and keeps them within the write budget.
// EncodeObject and DecodeObject detect objects that are truncated, damaged or of another kind.
package table
