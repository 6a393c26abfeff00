package fleet

// A call owes its meaning in part to the incarnation that it is decided for: the lease end is a time on its clock, the
// acknowledged sequence numbers its ends, the ticket is valid for it, and room was looked for on it. Epochs, tasks,
// run numbers, texts and checkpoints mean the same to each incarnation. docs/incidents/restarted-executors.md lists
// each field of each call, and what it does in the next incarnation.

// Target returns the only incarnation that the start may reach; 0 means that it may reach any.
func (s *Start) Target() int64 { return s.Incarnation }

// Target returns 0: a stop may reach any incarnation. The next one rejects the run if its start arrives later.
func (s *Stop) Target() int64 { return 0 }

// Target returns 0: a throttle may reach any incarnation. It names a run, which no other incarnation has.
func (t *Throttle) Target() int64 { return 0 }

// Target returns the only incarnation that the poll may reach; 0 means that it may reach any. Without a lease end and
// an acknowledgment it changes nothing but the epoch, and its response shows a restart.
func (p *Poll) Target() int64 {
	if p.LeaseEnd == 0 && p.AckedSequence == 0 {
		return 0
	}
	return p.Incarnation
}
