package route

// State is the state of a backend server in the instance list.
type State string

const (
	// Live backend servers accept new requests; the empty state means the same.
	Live State = "live"
	// Leaving backend servers are draining: they finish their requests and accept no new ones.
	Leaving State = "leaving"
	// Gone backend servers no longer exist.
	Gone State = "gone"
)

// Backend describes a backend server as the instance list does. If Slots is 0, the number is taken
// from the health reports of the backend server.
type Backend struct {
	Name, Address, FailureDomain string
	Slots, Connections           int
	Incarnation                  int64
	State                        State
}

// Status describes a backend server for status pages, whose JSON uses the field names.
type Status struct {
	Backend

	// Base and Granted are the slots that this instance may use: its base share and the slots
	// granted to it. Used is the number of them that are taken.
	Base, Granted, Used int

	// Busy is the number of slots taken by all entry instances, from the last health report.
	Busy int

	Ejected bool
	// ReportedLeaving means that the backend server itself reported that it is leaving.
	ReportedLeaving bool `json:"SelfMarked"`

	// Failures counts consecutive failures.
	Failures        int
	LatencyMs       float64
	OpenConnections int
}
