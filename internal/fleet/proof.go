package fleet

// StartProof is what the response to a start proves about the run.
type StartProof uint8

// Proofs about a run.
const (
	// MayRun means that the run may have been started, or may still be started later.
	MayRun StartProof = iota
	// HasRun means that the executor has started the run, or a later one of the task.
	HasRun
	// HasNotRun means that this attempt did not start the run and will not do so later. An earlier attempt may
	// have started it.
	HasNotRun
)

// startProofs holds what each status of the response to a start proves.
var startProofs = [...]StartProof{
	Executed:             HasRun,
	NoResponse:           MayRun,
	Fenced:               HasNotRun,
	AlreadyEnded:         HasRun,
	ArrivedLate:          HasNotRun,
	InsufficientCapacity: HasNotRun,
	InvalidTicket:        HasNotRun,
	Unavailable:          HasNotRun,
	WrongExecutor:        HasNotRun,
	Malformed:            HasNotRun,
	Undelivered:          MayRun,
	NotSent:              HasNotRun,
	Restarted:            HasNotRun,
}

// ProofOfStart returns what a response with this status proves about the start that it answers; a status that is
// not known proves nothing.
func (s Status) ProofOfStart() StartProof {
	if int(s) >= len(startProofs) {
		return MayRun
	}
	return startProofs[s]
}

// Silent reports whether the executor did not respond.
func (s Status) Silent() bool {
	return s == NoResponse || s == NotSent
}
