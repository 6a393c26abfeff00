// Package table is the client of the platform's table service, object store and instance list.
//
// Client makes single calls and resolves writes whose answer was lost. Group puts the writes of
// one instance into few transactions and keeps them within the write budget. Seal and Open guard
// objects against torn or foreign content.
package table
