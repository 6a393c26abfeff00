package host

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/cell"
)

const (
	// cutOffTimeout is how long the store and all other failure domains have to be silent before the owner's domain
	// counts as cut off. Followers report every 0.45 s, and the ownership is confirmed every 0.15 s.
	cutOffTimeout = 700 * time.Millisecond

	// knownContact is how long ago a follower may have called last to count as one that should be heard.
	knownContact = 10 * time.Second

	// minContacts is the number of silent followers in other domains that it takes: a single one may have failed.
	minContacts = 2
)

// Contact is when an instance in a failure domain last called the owner.
type Contact struct {
	Domain string
	At     time.Time
}

// DomainCutOff reports whether an owner in the given domain, whose ownership the store last confirmed at a given time,
// seems to be cut off with its domain: neither the store nor any other domain is heard. An outage of the store alone,
// or of one other instance, is something else.
func DomainCutOff(now time.Time, domain string, confirmed time.Time, contacts []Contact) bool {
	if confirmed.IsZero() || now.Sub(confirmed) < cutOffTimeout {
		return false
	}
	silent := 0
	for _, c := range contacts {
		age := now.Sub(c.At)
		switch {
		case c.Domain == domain || age > knownContact:
		case age < cutOffTimeout:
			return false
		default:
			silent++
		}
	}
	return silent >= minContacts
}

// cutOffSince reports whether this instance, as the owner, seems to be cut off with its domain, and since when.
func (h *Host) cutOffSince(d *cell.Driver) (time.Time, bool) {
	confirmed := d.ConfirmedAt()
	h.mu.Lock()
	defer h.mu.Unlock()
	contacts := make([]Contact, 0, len(h.followers))
	for _, f := range h.followers {
		if !f.leaving {
			contacts = append(contacts, Contact{Domain: f.domain, At: f.lastCall})
		}
	}
	return confirmed, DomainCutOff(time.Now(), h.Domain, confirmed, contacts)
}

// markCutOff makes this instance not ready at once.
func (h *Host) markCutOff() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if unready := time.Now().Add(-readyTimeout); h.lastHealthy.After(unready) {
		h.lastHealthy = unready
	}
}

// cutOffRetryAfter returns when callers should come back while the owner's domain is cut off, and false if it is not:
// once the load balancer directs new connections to other domains.
func (h *Host) cutOffRetryAfter(d *cell.Driver) (time.Duration, bool) {
	since, cutOff := h.cutOffSince(d)
	return max(balancerReactionTime-time.Since(since), 0), cutOff
}
