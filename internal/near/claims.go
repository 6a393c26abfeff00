package near

import "slices"

// Claim is the CPU that a step wants of a rack.
type Claim struct {
	// Class is the priority; 0 is the highest.
	Class  int
	Team   string
	Weight float64
	CPU    float64
}

// Ahead returns the CPU that others get before the claim at index i of those for one rack, which are in the order in
// which they are served. All of a higher class goes first, and what the own team claimed earlier. Of another team of
// the class goes first what corresponds, by weight, to the claims of the own team, so that a crowd of one team's steps
// does not keep those of the others from waiting: its last ones start elsewhere.
func Ahead(claims []Claim, i int) float64 {
	own := claims[i]
	ahead, before := 0.0, 0.0
	// In a slice, since the order of the sum must not depend on that of a map.
	var teams []Claim
	for k, c := range claims {
		switch {
		case k == i || c.Class > own.Class:
		case c.Class < own.Class:
			ahead += c.CPU
		case c.Team != own.Team:
			t := slices.IndexFunc(teams, func(t Claim) bool { return t.Team == c.Team })
			if t < 0 {
				teams = append(teams, c)
				continue
			}
			teams[t].CPU += c.CPU
		case k < i:
			before += c.CPU
		}
	}
	for _, t := range teams {
		ahead += min(t.CPU, (before+own.CPU)*ratio(t.Weight, own.Weight))
	}
	return ahead + before
}

// ratio returns the quotient of two weights; unknown ones count as equal.
func ratio(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return 1
	}
	return a / b
}
