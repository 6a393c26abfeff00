// Package back is a stand-in for a backend server.
package back
