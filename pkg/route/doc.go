// Package route balances requests across backend servers and forwards them.
//
// A Router may use a share of the slots of each backend server. Acquire takes a
// slot, Do forwards one request over HTTP/2 cleartext and releases the slot
// when the backend server has finished. Each request has exactly one outcome.
// A SlotAllocator grants the slots outside the base shares to the entry
// instances of a failure domain.
package route
