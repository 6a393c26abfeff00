// Package peer carries calls between entry instances over yamux.
//
// Every call uses a yamux stream of its own, so answers may come in any order
// and can not be mixed up. A message is a protobuf with a four-byte big-endian
// length before it. Calls in flight are bounded on both sides; above the bound
// a call is refused at once instead of waiting.
package peer
