// Package peer implements calls between entry instances over yamux.
//
// Each call uses its own yamux stream, so responses may arrive in any order and
// cannot be mixed up. A message is a protobuf preceded by its length as four
// big-endian bytes. Both sides limit the number of calls in flight; a call above
// the limit is refused immediately instead of being queued.
package peer
