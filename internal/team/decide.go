package team

import "time"

// Verdict tells whether a request may be served.
type Verdict uint8

// Verdicts.
const (
	// Allowed means that the key identifies a team, or that no key is needed.
	Allowed Verdict = iota
	// NoTeam means that the key identifies no team.
	NoTeam
	// Unconfirmed means that a newer configuration may have removed the key too long ago.
	Unconfirmed
	// UnconfirmedKey means that the key identifies no team, but a newer configuration may have added it.
	UnconfirmedKey
)

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// Team is the team of an allowed request; empty if no key is needed.
	Team string
	// Age is the age of the confirmation of the configuration.
	Age time.Duration
}

// Decide decides on a request with the given key, by a configuration whose confirmation has the given age.
func (l Limits) Decide(d *Directory, key string, age time.Duration) Decision {
	name, known := d.Lookup(key)
	switch {
	case !l.acceptsKeys(age):
		return Decision{Verdict: Unconfirmed, Age: age}
	case known:
		return Decision{Team: name, Age: age}
	case l.rejectsKeys(age):
		return Decision{Verdict: NoTeam, Age: age}
	}
	return Decision{Verdict: UnconfirmedKey, Age: age}
}
