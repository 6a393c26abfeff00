package host_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/host"
)

// Guards against callers who stay in a domain that is cut off because its owner is inside, and against instances that
// withdraw in an outage of the store, or while single instances fail.
func TestDomainCutOff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	contacts := func(ages map[string][]time.Duration) []host.Contact {
		var out []host.Contact
		for domain, list := range ages {
			for _, age := range list {
				out = append(out, host.Contact{Domain: domain, At: ago(age)})
			}
		}
		return out
	}
	const long, short = time.Second, 300 * time.Millisecond
	for name, c := range map[string]struct {
		confirmed time.Time
		ages      map[string][]time.Duration
		want      bool
	}{
		"cut off":                      {ago(long), map[string][]time.Duration{"a": {short}, "b": {long}, "c": {long}}, true},
		"store outage":                 {ago(long), map[string][]time.Duration{"a": {short}, "b": {long, short}, "c": {long}}, false},
		"links between instances fail": {ago(short), map[string][]time.Duration{"b": {long}, "c": {long}}, false},
		"one instance fails as well":   {ago(long), map[string][]time.Duration{"a": {short}, "b": {long}}, false},
		"only one domain":              {ago(long), map[string][]time.Duration{"a": {long, long, long}}, false},
		"gone long before":             {ago(long), map[string][]time.Duration{"b": {time.Minute}, "c": {time.Minute}}, false},
		"not confirmed yet":            {time.Time{}, map[string][]time.Duration{"b": {long}, "c": {long}}, false},
	} {
		assert.Equal(t, host.DomainCutOff(now, "a", c.confirmed, contacts(c.ages)), c.want, name)
	}
}
