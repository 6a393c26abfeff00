// Package config validates, publishes and replicates configuration documents.
//
// Documents are short JSON files. Each is validated against a JSON Schema and
// against the other documents. A publication commits all of its documents in
// one transaction of the table service, or none of them. Every entry instance
// keeps a replica that it updates from the table and from its peers; revisions
// are applied in order and a replica never returns to an older one.
package config
