package route

// State is what the instance list says of a backend server.
type State string

const (
	// Live backend servers take new work; the empty state means the same.
	Live State = "live"
	// Leaving backend servers finish their work and take no new one.
	Leaving State = "leaving"
	// Gone backend servers no longer exist.
	Gone State = "gone"
)

// Backend describes a backend server as the instance list does.
type Backend struct {
	Name, Address, FailureDomain string
	Slots, Connections           int
	Incarnation                  int64
	State                        State
}

// Status describes a backend server for status pages.
type Status struct {
	Backend
	Base, Granted, Used int
	Ejected, SelfMarked bool
	Failures            int
	LatencyMs           float64
	OpenConnections     int
}
