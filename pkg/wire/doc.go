// Package wire holds the protobuf messages that entry instances exchange.
//
// wire.pb.go is generated from wire.proto by .ci/generate and committed.
package wire
