// Package route chooses backend servers and forwards requests to them.
//
// A Router holds a share of the slots of each backend server. Acquire takes a
// slot, Do forwards one request over HTTP/2 cleartext and gives the slot back
// when the backend server has finished. Each request has exactly one outcome.
// A Lender lends the slots outside the base shares to the entry instances of a
// failure domain.
package route
