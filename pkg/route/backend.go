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

// Backend describes a backend server as the instance list does. Slots of 0 means that
// the backend server's health reports give the number.
type Backend struct {
	Name, Address, FailureDomain string
	Slots, Connections           int
	Incarnation                  int64
	State                        State
}

// Status describes a backend server for status pages.
type Status struct {
	Backend

	// Base and Granted are this instance's share of the slots, and Used what is taken of it.
	Base, Granted, Used int

	// Busy is the number of slots taken by all entry instances in the last health report.
	Busy int

	// SelfMarked means that the backend server itself said that it is leaving.
	Ejected, SelfMarked bool

	// Failures are those in a row.
	Failures        int
	LatencyMs       float64
	OpenConnections int
}
