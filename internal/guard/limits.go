package guard

import "time"

const (
	// fileDescriptors is the part of the descriptors that the platform sets aside for files.
	fileDescriptors = 200

	// clientSocketShare and peerSocketShare are the shares of the sockets for clients and for other instances. Half of
	// the sockets, less those for probes, is left for the instance's own calls: an owner without relays has at least
	// a poll and a command for each of 350 executors at the same time.
	clientSocketShare, peerSocketShare = 0.4, 0.1

	// connectionMemoryShare of the memory may be taken by connections, connectionBytes each: the stack of the
	// goroutine, two buffers of 4 KB and the bookkeeping of net/http. Connections without a request took about 10 KB
	// each before there were limits (34 MB with 640 of them, 28 MB without), and a request takes more.
	connectionMemoryShare = 0.25
	connectionBytes       = 24 << 10

	// heldMemoryShare of the memory may be taken by heads and by parts of bodies that wait for their rest.
	heldMemoryShare = 0.125

	// requestsPerMB limits the requests in progress: 64 KB each for the decoded job, the call to the owner and the
	// response.
	requestsPerMB = 4

	// minConnections is the least limit on connections that is derived, so that a small setting does not shut all
	// clients out. Probes and metrics come from a few clients: probeShare of the connections is at most maxProbes.
	minConnections = 16
	minProbes      = 8
	maxProbes      = 64
	probeShare     = 16
	minPeers       = 64

	defaultHeaderFields = 100

	// defaultStall is longer than the 3 s within which clients expect the response: a body that makes no progress
	// for longer belongs to a client that has given up. defaultBytesPerSecond lets the largest body through a link
	// of 64 kbit/s, for clients that allow more time than 3 s; it holds from defaultStall on.
	defaultStall          = 5 * time.Second
	defaultBytesPerSecond = 8 << 10

	// evictableAfter is the time without progress after which a connection in the middle of a request may be closed
	// to make room for others. A lost packet on a link with a round trip of 200 ms is repeated within 0.6 s.
	evictableAfter = time.Second

	// idleEvictableAfter is the same for a connection between two requests. A client that keeps a connection for each
	// of 105 requests a second, the whole load of a deployment, has 525 of them then.
	idleEvictableAfter = 5 * time.Second
)

// Limits are the budgets of one instance. A field that is 0 has no limit.
type Limits struct {
	// Connections limits the connections of clients, Probes those to the readiness path and, separately, to the
	// metrics, and Peers those of other instances.
	Connections, Probes, Peers int
	// Requests limits the requests of clients in progress.
	Requests int
	// HeldBytes limits the bytes of heads, and of parts of bodies that cannot be decoded before their rest arrives.
	HeldBytes int64
	// HeaderFields limits the fields of the head of a request.
	HeaderFields int
	// Stall is the longest time without progress in the middle of a body or of a response.
	Stall time.Duration
	// BytesPerSecond is the least average rate of a body after Stall.
	BytesPerSecond int64
}

// Derive returns the limits for an instance's limits of memory and descriptors; 0 descriptors means unknown.
func Derive(memoryMB, descriptors int64) Limits {
	memory := float64(memoryMB << 20)
	l := Limits{
		Connections: int(memory * connectionMemoryShare / connectionBytes), Peers: int(memory * connectionMemoryShare / connectionBytes / 4),
		Requests:  int(memoryMB * requestsPerMB),
		HeldBytes: int64(memory * heldMemoryShare), HeaderFields: defaultHeaderFields, Stall: defaultStall, BytesPerSecond: defaultBytesPerSecond,
	}
	if descriptors > 0 {
		sockets := float64(max(descriptors-fileDescriptors, descriptors/2))
		l.Connections = min(l.Connections, int(sockets*clientSocketShare))
		l.Peers = min(l.Peers, int(sockets*peerSocketShare))
	}
	l.Connections = max(l.Connections, minConnections)
	l.Peers = max(l.Peers, minPeers)
	l.Probes = min(max(l.Connections/probeShare, minProbes), maxProbes)
	l.Requests = max(l.Requests, minConnections)
	return l
}

// Lowered returns the limits with each field replaced by that of other where this one is set and lower.
func (l Limits) Lowered(other Limits) Limits {
	return Limits{
		Connections: lower(l.Connections, other.Connections), Probes: lower(l.Probes, other.Probes), Peers: lower(l.Peers, other.Peers),
		Requests: lower(l.Requests, other.Requests), HeldBytes: int64(lower(int(l.HeldBytes), int(other.HeldBytes))),
		HeaderFields: lower(l.HeaderFields, other.HeaderFields), Stall: time.Duration(lower(int(l.Stall), int(other.Stall))),
		BytesPerSecond: int64(lower(int(l.BytesPerSecond), int(other.BytesPerSecond))),
	}
}

func lower(a, b int) int {
	if b > 0 && (a == 0 || b < a) {
		return b
	}
	return a
}
