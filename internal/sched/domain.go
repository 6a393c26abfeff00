package sched

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyrack/daisyrack/pkg/config"
)

// allowedDomains returns the sorted failure domains in which a job may run.
func allowedDomains(j config.Job, all []string) []string {
	domains := j.FailureDomains
	if len(domains) == 0 {
		domains = all
	}
	return slices.Sorted(slices.Values(domains))
}

// HomeDomain returns the failure domain that schedules a batch or all-at-once job. It is chosen by
// rendezvous hashing, so that most jobs keep their home domain when the list of domains changes.
func HomeDomain(j config.Job, all []string) string {
	home, best := "", uint64(0)
	for _, d := range allowedDomains(j, all) {
		if h := xxhash.Sum64String(j.Name + "\x00" + d); home == "" || h > best {
			home, best = d, h
		}
	}
	return home
}

// taskIndexes returns the indexes of the tasks that a failure domain schedules: all tasks of a
// batch or all-at-once job in its home domain, and the replicas of a service spread round-robin.
func taskIndexes(j config.Job, all []string, domain string) []int {
	if j.Kind != config.KindService {
		if HomeDomain(j, all) != domain {
			return nil
		}
		return indexRange(0, j.Tasks, 1)
	}
	domains := allowedDomains(j, all)
	at, found := slices.BinarySearch(domains, domain)
	if !found {
		return nil
	}
	return indexRange(at, j.Tasks, len(domains))
}

func indexRange(from, until, step int) []int {
	var list []int
	for i := from; i < until; i += step {
		list = append(list, i)
	}
	return list
}
