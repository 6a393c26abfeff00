package table

// Row is one row of the table. Version is the commit number of its last change.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Check is the condition that a row has a certain version; version 0 means that the row must not
// exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put sets the value of a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction applies all puts and deletes atomically if all checks hold, and nothing otherwise.
type Transaction struct {
	Token   string   `json:"token"`
	Checks  []Check  `json:"checks"`
	Puts    []Put    `json:"puts"`
	Deletes []string `json:"deletes"`
}

// Outcome is what is known about the effect of a commit.
type Outcome int

const (
	// Committed means that the commit took effect exactly once.
	Committed Outcome = iota
	// Conflict means that a check did not hold and nothing took effect.
	Conflict
	// Refused means that the commit did not and will not take effect.
	Refused
	// Unknown means that the commit may have taken effect or may still do so.
	Unknown
)

var outcomeNames = [...]string{"committed", "conflict", "refused", "unknown"}

func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// Result is the outcome of a commit.
type Result struct {
	Outcome Outcome

	// Version is the commit number if the outcome is Committed.
	Version int64

	// Conflicts are the rows whose checks did not hold, with their current versions.
	Conflicts []Check

	// Err is the reason if the outcome is Refused or Unknown.
	Err error
}

// safeToResend reports whether at most one of several copies of c can take effect: the first copy
// that takes effect changes the version of a row that c checks, so the check of a later copy
// fails. An insert is an exception if its row is deleted before the other copy arrives, so code
// that deletes rows must tolerate that a row reappears.
func (c Transaction) safeToResend() bool {
	checked := make(map[string]int64, len(c.Checks))
	for _, check := range c.Checks {
		checked[check.Key] = check.Version
	}
	for _, put := range c.Puts {
		if _, ok := checked[put.Key]; ok {
			return true
		}
	}
	for _, key := range c.Deletes {
		if checked[key] > 0 {
			return true
		}
	}
	return false
}
