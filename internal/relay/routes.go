package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// directExecutors is the number of executors up to which the owner makes all calls itself.
	directExecutors = 60

	// executorsPerWeight is the number of executors for which a relay is used, for each unit of its
	// weight, within minExecutorsPerRelay and maxExecutorsPerRelay. At 2.4 KB/s for the starts and
	// polls of a busy executor, they use a tenth of a network link.
	executorsPerWeight   = 1.5
	minExecutorsPerRelay = 10
	maxExecutorsPerRelay = 40

	// maxRelays limits the relays, since the owner spends processor time on the batches of each.
	maxRelays = 20

	// minRelayShare is the least capacity of a relay as a fraction of that of the largest candidate.
	// Smaller instances have little to spare beside their own requests.
	minRelayShare = 0.5

	// batchesPerCore is the number of batches a second and direction, over all relays, for each core of
	// the owner. At 40 us for a batch they take a tenth of its processor.
	batchesPerCore = 1200

	// minBatchInterval and maxBatchInterval limit the time between two batches on one stream in one
	// direction, by which calls and results are delayed.
	minBatchInterval = 5 * time.Millisecond
	maxBatchInterval = 40 * time.Millisecond

	// seenWindow is how long an executor counts after its last poll; idle ones are polled every 2 s.
	seenWindow = 6 * time.Second
)

// Candidate is an instance that could be a relay.
type Candidate struct {
	Address string
	// Domain is the failure domain of the instance.
	Domain string
	// Weight is the smaller of its processor, in thousandths of a core, and its network link in the same
	// unit.
	Weight int64
	// TellsIncarnations is not set on an instance of a former version, which would send calls to the next
	// incarnation of an executor. It is not used.
	TellsIncarnations bool
}

// chooseRelays returns the instances to use as relays for a number of executors, spread evenly over
// the failure domains. Those in use are kept, since a change breaks calls in flight.
func chooseRelays(candidates []Candidate, current map[string]bool, executors int) []Candidate {
	if executors <= directExecutors {
		return nil
	}
	var chosen []Candidate
	inDomain := make(map[string]int)
	var spare []Candidate
	largest := int64(0)
	for _, c := range candidates {
		largest = max(largest, c.Weight)
	}
	perRelay := min(max(int(executorsPerWeight*float64(largest)), minExecutorsPerRelay), maxExecutorsPerRelay)
	wanted := min((executors+perRelay-1)/perRelay, maxRelays)
	for _, c := range candidates {
		switch {
		case float64(c.Weight) < minRelayShare*float64(largest):
		case current[c.Address]:
			chosen = append(chosen, c)
			inDomain[c.Domain]++
		default:
			spare = append(spare, c)
		}
	}
	for len(chosen) < wanted && len(spare) > 0 {
		best := 0
		for i, c := range spare {
			if inDomain[c.Domain] < inDomain[spare[best].Domain] {
				best = i
			}
		}
		chosen = append(chosen, spare[best])
		inDomain[spare[best].Domain]++
		spare = slices.Delete(spare, best, best+1)
	}
	return chosen
}

// batchInterval returns the time between two batches to or from one relay for an owner with a number
// of relays and a capacity in thousandths of a core.
func batchInterval(relays int, weight int64) time.Duration {
	if weight <= 0 {
		return maxBatchInterval
	}
	perBatch := time.Duration(float64(time.Second) / (batchesPerCore * float64(weight) / 1000))
	return min(max(minBatchInterval, time.Duration(relays)*perBatch), maxBatchInterval)
}

// chooseLink returns the link for an executor: one in its failure domain if there is any, so that a
// cut between domains breaks as few calls as possible, else any. Each link gets about as many
// executors, and the loss of one link moves only its own.
func chooseLink(links []*link, e fleet.Executor) *link {
	var best *link
	var bestLocal bool
	var bestScore uint64
	for _, l := range links {
		local := l.domain == e.Domain
		score := xxhash.Sum64String(l.address + "/" + e.ID)
		if best == nil || local && !bestLocal || local == bestLocal && score > bestScore {
			best, bestLocal, bestScore = l, local, score
		}
	}
	return best
}

// insertLink adds a link to a list sorted by address.
func insertLink(links []*link, l *link) []*link {
	i, _ := slices.BinarySearchFunc(links, l, func(a, b *link) int { return cmp.Compare(a.address, b.address) })
	return slices.Insert(slices.Clone(links), i, l)
}
