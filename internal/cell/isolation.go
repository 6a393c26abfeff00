package cell

import (
	"slices"
	"time"
)

const (
	// asideRetryInterval is the time between two attempts to store what the store has refused for its content.
	asideRetryInterval = 10 * time.Second

	// maxHeldEnds is the number of ended runs of jobs that are set aside which one executor keeps for the next
	// owner. It lists 500 at most, and those of other jobs must still be seen.
	maxHeldEnds = 250
)

// isolation finds the job whose entries the store refuses for their content, and sets it aside, so that the changes of
// all other jobs are stored. The records of jobs are bounded; this keeps a mistake there from stopping the cell.
type isolation struct {
	// suspects are the jobs one of which has entries that the store refuses; none means that commits hold all
	// jobs. turn are those whose entries the commit in progress holds.
	suspects, turn []*job
	// aside holds the jobs whose entries are in no commit, with the time at which one of them was last refused.
	aside map[*job]time.Time
}

// allows reports whether the next commit may hold entries of the job.
func (s *isolation) allows(j *job) bool {
	if len(s.turn) > 0 {
		return slices.Contains(s.turn, j)
	}
	return s.mayWrite(j)
}

// mayWrite reports whether entries of the job may be in this commit or a later one; those of jobs that are set aside
// may not before their next turn.
func (s *isolation) mayWrite(j *job) bool {
	if len(s.aside) == 0 {
		return true
	}
	_, aside := s.aside[j]
	return !aside || slices.Contains(s.turn, j)
}

func (s *isolation) anyMayWrite(jobs map[string]*job) bool {
	if len(s.aside) == 0 {
		return len(jobs) > 0
	}
	for _, j := range jobs {
		if s.mayWrite(j) {
			return true
		}
	}
	return false
}

// nextTurn selects the first half of the suspects for the next commit.
func (s *isolation) nextTurn() {
	s.turn = s.suspects[:(len(s.suspects)+1)/2]
}

// turnStored records that the store has accepted the entries of the suspects of the last commit.
func (s *isolation) turnStored() {
	for _, j := range s.turn {
		delete(s.aside, j)
	}
	s.suspects = s.suspects[len(s.turn):]
	s.turn = nil
}

// refused records that the store refuses entries of one of the jobs. It returns the job if there is only one.
func (s *isolation) refused(now time.Time, jobs []*job) *job {
	s.turn = nil
	if len(jobs) > 1 {
		s.suspects = jobs
		return nil
	}
	s.suspects = nil
	if s.aside == nil {
		s.aside = make(map[*job]time.Time)
	}
	s.aside[jobs[0]] = now
	return jobs[0]
}

// retry makes a job that was set aside for long enough the one whose entries the next commit holds.
func (s *isolation) retry(now time.Time) {
	if len(s.suspects) > 0 {
		return
	}
	for j, at := range s.aside {
		if j.storedState.Final() {
			delete(s.aside, j)
		} else if now.Sub(at) >= asideRetryInterval {
			s.suspects = []*job{j}
			return
		}
	}
}

// BatchInvalid handles a batch of which nothing is stored since the store refuses its content. It is committed in
// halves until the job is found whose entries are the cause. That job is rejected if it is new; otherwise its changes
// are set aside, and its ended runs are not acknowledged.
func (c *Core) BatchInvalid(now time.Time, b *Batch) {
	pw := &c.writes
	c.requeue(b)
	pw.newJobs = append(slices.Clone(b.created), pw.newJobs...)
	for _, j := range b.created {
		j.inCommit = false
	}
	var jobs []*job
	for _, p := range b.pages {
		for _, j := range p.jobs {
			if !slices.Contains(jobs, j) {
				jobs = append(jobs, j)
			}
		}
	}
	if len(jobs) == 0 {
		pw.isolation.suspects, pw.isolation.turn = nil, nil
		pw.obsoletePages = slices.DeleteFunc(pw.obsoletePages, func(p *page) bool { return slices.Contains(b.dropped, p) })
		c.Log.WithField("rows", len(b.dropped)).Error("store refuses to delete outdated rows; leaving them")
		return
	}
	j := pw.isolation.refused(now, jobs)
	if j == nil {
		c.Log.WithField("jobs", len(jobs)).WithField("bytes", b.bytes).Warn("store refuses the content of a commit; looking for the job")
		return
	}
	if slices.Contains(pw.newJobs, j) {
		delete(pw.isolation.aside, j)
		pw.newJobs = slices.DeleteFunc(pw.newJobs, func(other *job) bool { return other == j })
		c.reject(now, j, "the store refuses the job")
		return
	}
	c.Log.WithField("job", j.ID).WithField("bytes", b.bytes).WithField("retry_ms", asideRetryInterval.Milliseconds()).
		Error("store refuses the progress of a job; setting it aside")
}

// unackedEnd is an ended run that is not acknowledged to its executor. The job is nil if it could not be restored: the
// end is kept for an owner that can.
type unackedEnd struct {
	sequence int64
	job      *job
}

// ackableSequence returns the sequence number up to which the ended runs of an executor may be acknowledged: those of
// jobs that are set aside or were not restored are not stored.
func (ex *executor) ackableSequence(s *isolation) int64 {
	held := 0
	acked := ex.appliedSequence
	for _, e := range slices.Backward(ex.unackedEnds) {
		if e.job != nil && s.mayWrite(e.job) {
			continue
		}
		if held++; held > maxHeldEnds {
			break
		}
		acked = e.sequence - 1
	}
	return acked
}
