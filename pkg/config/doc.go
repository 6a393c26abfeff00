// Package config keeps the configuration documents in force.
//
// Documents are short JSON files, each checked against a JSON Schema and
// against the other documents. A publication commits all of its documents in
// one transaction of the table service, or none. Every entry instance follows
// the revisions through the table and through its peers, applies changes in
// order and never goes back to an older revision.
package config
