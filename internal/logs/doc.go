// Package logs writes structured log lines without ever making their writer wait.
package logs
