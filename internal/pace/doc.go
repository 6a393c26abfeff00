// Package pace measures how far a loop is behind its events, and derives from it by how much work that
// can wait has to become rarer.
package pace
