package relay

import (
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// responseTime is how long a response of an executor may take beyond the time for which it is held, and
	// lossyResponseTime the same while responses get lost. It takes a few milliseconds.
	responseTime      = 250 * time.Millisecond
	lossyResponseTime = 120 * time.Millisecond

	// maxSilentAttempts is the number of attempts in a row without a response from which an executor does not
	// respond: a single response gets lost, or a connection breaks, without the executor being gone. It is
	// lossyFactor times as many while responses get lost, otherwise half as many for an executor that the owner
	// knows not to have responded.
	maxSilentAttempts = 2
	lossyFactor       = 3

	// knownEndsPause is the time between two attempts while the executor lists ended runs that the owner knows
	// and has not stored yet: until they are acknowledged it holds no response.
	knownEndsPause = 60 * time.Millisecond

	// maxQuickAttempts is the number of attempts that may follow each other without a pause, beyond one for each
	// knownEndsPause that has passed. An executor that does not hold its response, whatever the poll asks for,
	// would otherwise get the next attempt as soon as it has responded.
	maxQuickAttempts = 8

	// lossyHold is the longest time for which an executor holds a response while responses get lost. A lost one
	// hides ended runs until it times out.
	lossyHold = 400 * time.Millisecond
)

// Watch decides about the attempts that one poll of an executor takes, in the instance next to the executor:
// whether to repeat one without a response, and when there is something that the owner does not know. It is not
// safe for concurrent use.
type Watch struct {
	// Late is how much longer a response may take because this instance is late itself.
	Late time.Duration
	// Lost is the number of attempts without a response that were followed by one with a response.
	Lost int

	poll fleet.Poll
	// lossy is set while responses of executors get lost.
	lossy bool
	end   time.Time
	// silent is the number of attempts in a row without a response, the last of which was sent at silentSent.
	silent     int
	silentSent time.Time
	told       *Told
	// attempts is the number of attempts since begin.
	begin    time.Time
	attempts int
}

// Told holds the runs of an executor that the owner was told last. It is safe for concurrent use.
type Told struct {
	mu sync.Mutex
	// runs are those of the given incarnation: numbers of runs told of another one say nothing.
	runs        map[toldRun]bool
	incarnation int64
	// usedAt is when the executor was last polled.
	usedAt time.Time
}

type toldRun struct {
	task   fleet.TaskID
	number int64
}

// update makes the listed runs of an incarnation those that the owner was told, and returns the ones that it was not
// told before.
func (t *Told) update(incarnation int64, listed []fleet.Run) []fleet.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation != t.incarnation {
		t.runs, t.incarnation = nil, incarnation
	}
	var added []fleet.Run
	runs := make(map[toldRun]bool, len(listed))
	for i := range listed {
		key := toldRun{listed[i].Task, listed[i].Number}
		if !t.runs[key] {
			added = append(added, listed[i])
		}
		runs[key] = true
	}
	t.runs = runs
	return added
}

// NewWatch returns the state of a poll that begins now, of an executor of which the owner was told the given runs.
// While responses get lost, lossy is set.
func NewWatch(now time.Time, poll fleet.Poll, lossy bool, told *Told) *Watch {
	return &Watch{poll: poll, lossy: lossy, begin: now, end: now.Add(poll.Wait), told: told}
}

// SetLossy records that responses of executors get lost, which may become known during the poll.
func (w *Watch) SetLossy() { w.lossy = true }

// maxSilent returns the number of attempts in a row without a response from which the executor does not respond.
func (w *Watch) maxSilent() int {
	switch {
	case w.lossy:
		return maxSilentAttempts * lossyFactor
	case w.poll.Incarnation == 0:
		return maxSilentAttempts / 2
	}
	return maxSilentAttempts
}

// Next returns the next attempt. Its timeout is how long to wait for the response.
func (w *Watch) Next(now time.Time) fleet.Poll {
	w.attempts++
	p := w.poll
	p.Wait = max(w.end.Sub(now), 0)
	if w.lossy {
		p.Wait = min(p.Wait, lossyHold)
	}
	if w.silent > 0 {
		// The executor may have restarted, which resets its sequence numbers and its clock.
		p.Wait, p.AckedSequence, p.LeaseEnd = 0, 0, 0
	}
	p.Timeout = p.Wait + responseTime + w.Late
	if w.lossy {
		p.Timeout = p.Wait + lossyResponseTime + w.Late
	}
	return p
}

// Handle takes the response to an attempt that was sent at the given time. If done is false, another attempt is due
// after the pause; otherwise result is what the owner gets.
func (w *Watch) Handle(now, sent time.Time, resp fleet.Response) (result fleet.Response, done bool, pause time.Duration) {
	switch {
	case resp.Status.Silent():
		w.silent++
		if sent.After(w.silentSent) {
			w.silentSent = sent
		}
		return resp, w.silent >= w.maxSilent(), 0
	case resp.Status != fleet.Executed:
		return resp, true, 0
	}
	if sent.After(w.silentSent) { // an older one does not show that the executor has not restarted since
		w.Lost += w.silent
		w.silent = 0
	}
	restarted := resp.Incarnation != w.poll.Incarnation
	formerOwner := w.poll.Incarnation == 0 && len(resp.Ends) > 0 // it does not tell what it knows
	if restarted || formerOwner || !now.Before(w.end) {
		w.told.update(resp.Incarnation, resp.Runs)
		return resp, true, 0
	}
	for i := range resp.Ends {
		if resp.Ends[i].Sequence > w.poll.KnownSequence {
			return w.newEnds(resp), true, 0
		}
	}
	if len(resp.Ends) > 0 || w.attempts > maxQuickAttempts+int(now.Sub(w.begin)/knownEndsPause) {
		pause = min(knownEndsPause, w.end.Sub(now))
	}
	return fleet.Response{}, false, pause
}

// newEnds returns a response with the ended runs that the owner does not know and the runs that it was not told.
// It gets the list of all runs at the end of the poll.
func (w *Watch) newEnds(resp fleet.Response) fleet.Response {
	ends := make([]fleet.End, 0, len(resp.Ends))
	for _, e := range resp.Ends {
		if e.Sequence > w.poll.KnownSequence {
			ends = append(ends, e)
		}
	}
	resp.Ends, resp.Runs, resp.Partial = ends, w.told.update(resp.Incarnation, resp.Runs), true
	return resp
}

const (
	// lossThreshold is the number of lost responses within lossWindow from which responses are considered to
	// get lost, until none did for as long.
	lossThreshold = 4
	lossWindow    = 3 * time.Second
)

// Losses counts responses of live executors that got lost. The zero value is ready to use; it is not safe for
// concurrent use.
type Losses struct {
	// latest are the times of the latest losses, the oldest first, and count is the number of all.
	latest [lossThreshold]time.Time
	count  int
}

// Record adds lost responses.
func (l *Losses) Record(now time.Time, n int) {
	l.count += n
	for range min(n, lossThreshold) {
		copy(l.latest[:], l.latest[1:])
		l.latest[lossThreshold-1] = now
	}
}

// Persist reports whether responses get lost.
func (l *Losses) Persist(now time.Time) bool {
	oldest, newest := l.latest[0], l.latest[lossThreshold-1]
	return !oldest.IsZero() && newest.Sub(oldest) <= lossWindow && now.Sub(newest) <= lossWindow
}
