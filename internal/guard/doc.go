// Package guard protects an instance from clients that take its memory or its descriptors: it limits the
// connections, the bytes held for requests that are not complete, the requests in progress, and the time without
// progress, and decides which connections are closed when a limit is reached.
package guard
