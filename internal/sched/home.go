package sched

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyrack/daisyrack/pkg/config"
)

// domainsOf returns the sorted failure domains in which a job may run.
func domainsOf(j config.Job, all []string) []string {
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
	for _, d := range domainsOf(j, all) {
		if h := xxhash.Sum64String(j.Name + "\x00" + d); home == "" || h > best {
			home, best = d, h
		}
	}
	return home
}

// indexesIn returns the task indexes of a job that belong to a failure domain.
func indexesIn(j config.Job, all []string, domain string) []int {
	if j.Kind != config.KindService {
		if HomeDomain(j, all) != domain {
			return nil
		}
		return count(0, j.Tasks, 1)
	}
	domains := domainsOf(j, all)
	at, found := slices.BinarySearch(domains, domain)
	if !found {
		return nil
	}
	return count(at, j.Tasks, len(domains))
}

func count(from, until, step int) []int {
	var list []int
	for i := from; i < until; i += step {
		list = append(list, i)
	}
	return list
}
