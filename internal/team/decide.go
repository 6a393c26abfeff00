package team

// Verdict tells whether a request may be served.
type Verdict uint8

// Verdicts.
const (
	// Allowed means that the key identifies a team, or that no key is needed.
	Allowed Verdict = iota
	// NoTeam means that the key identifies no team.
	NoTeam
)

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// Team is the team of an allowed request; empty if no key is needed.
	Team string
}

// Decide decides on a request with the given key.
func Decide(d *Directory, key string) Decision {
	if name, ok := d.Lookup(key); ok {
		return Decision{Team: name}
	}
	return Decision{Verdict: NoTeam}
}
