package cell

import (
	"math"
	"sort"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// maxAsked is the number of executors that the policy service takes in one call.
	maxAsked = 100

	// usualAsked is how many executors a call names at most; the objective of a job has time for 30.
	usualAsked = 30

	// spareAsked is asked for beyond what the learned share demands.
	spareAsked = 2

	// roomFactor times the tasks that wait is the room that executors are chosen for: other steps
	// may be faster.
	roomFactor = 1.15

	// newPlacePenalty is the penalty of an executor that has to be stored for the job first.
	newPlacePenalty = 0.5

	// longDecide parts queues whose calls take long from those that urgent work waits for.
	longDecide = 100 * time.Millisecond

	// adviceRetry is the pause after a call that failed.
	adviceRetry = 50 * time.Millisecond

	// askPause bounds the processor time spent on steps for which no call helps.
	askPause = 20 * time.Millisecond

	// firstShare is assumed of the executors that are allowed before any answer.
	firstShare = 0.5

	// shareWeight is the weight of one answer in the learned share.
	shareWeight = 0.1
)

// goodShare is the learned share of executors that the policy service allows for a queue.
type goodShare struct {
	value float64
}

// Question is one call of the policy service.
type Question struct {
	Step      fleet.StepID
	Executors []string
	// Long is set when the call takes so long that urgent ones must not wait behind it.
	Long bool

	work  *work
	lives map[string]int64
	asked time.Time
	// places are the executors on which tasks of the job may be started, those of later steps
	// included.
	places []string
}

// NextQuestion returns the call that is needed most; with short set only calls that are
// quick are returned. nil means that none is needed.
func (c *Core) NextQuestion(now time.Time, short bool) *Question {
	for _, w := range c.works {
		if w.asking || w.queue.Advice == nil || len(w.pending) == 0 || now.Before(w.askAfter) {
			continue
		}
		long := w.queue.Advice.BaseLatency > longDecide
		if long && short {
			continue
		}
		if !c.mayGrow(w, 1) {
			continue
		}
		if q := c.question(now, w); q != nil {
			q.Long = long
			w.asking = true
			if !long {
				// The places are stored while the call is made.
				c.propose(w.job, q.places)
			}
			c.Count.AdviceAsked += int64(len(q.Executors))
			return q
		}
		w.askAfter = now.Add(askPause)
	}
	return nil
}

// question chooses the executors worth asking for.
func (c *Core) question(now time.Time, w *work) *Question {
	valid := now.Add(ticketMargin + w.queue.Advice.LatencyPerExecutor*usualAsked + w.queue.Advice.BaseLatency)
	room := 0
	var options []option
	for _, ex := range c.ordered {
		id := ex.ID
		if !c.mayRun(now, w, ex) {
			continue
		}
		fits := c.fits(w, ex)
		if fits == 0 {
			continue
		}
		t, good := w.tickets[id]
		good = good && t.life == ex.life
		if good && valid.Before(t.until) || good && now.Add(ticketMargin).Before(t.until) {
			room += fits
			continue
		}
		judged, seen := w.judged[id]
		if seen && judged == ex.life && !good {
			continue
		}
		options = append(options, option{ex: ex, fits: fits, renewal: good, penalty: penalty(w, ex) + c.placePenalty(w.job, ex)})
	}
	need := len(w.pending)
	if room >= need || len(options) == 0 {
		return nil
	}
	if w.spec.Gang && !c.gangFits(w, room, len(options)) {
		return nil
	}
	most := maxAsked
	if w.queue.Advice.BaseLatency > longDecide {
		most = usualAsked
	}
	q := &Question{Step: w.step, work: w, lives: make(map[string]int64), asked: now}
	share := c.share(w.queue.Name).value
	for _, ex := range choose(options, room, need, share, most) {
		q.Executors = append(q.Executors, ex.ID)
		q.lives[ex.ID] = ex.life
	}
	q.places = q.Executors
	if widest := w.job.Spec.WidestStep(); widest > need {
		q.places = nil
		for _, ex := range choose(options, room, widest, share, most) {
			q.places = append(q.places, ex.ID)
		}
	}
	return q
}

// placePenalty prefers executors that the store names for the job: tasks start there without a
// commit.
func (c *Core) placePenalty(j *job, ex *executor) float64 {
	if j.stored[ex.ID] {
		return 0
	}
	return newPlacePenalty
}

// option is an executor that has room for tasks of a step.
type option struct {
	ex *executor
	// fits is the number of tasks for which there is room.
	fits int
	// renewal is set when the executor is known to be allowed for the step.
	renewal bool
	penalty float64
}

// choose returns the best executors for the tasks that find no room yet, at most so many; share
// is how many of them can be expected to be allowed.
func choose(options []option, room, need int, share float64, most int) []*executor {
	sort.Slice(options, func(i, k int) bool {
		a, b := options[i], options[k]
		if a.renewal != b.renewal {
			return a.renewal
		}
		if a.penalty != b.penalty {
			return a.penalty < b.penalty
		}
		if a.fits != b.fits {
			return a.fits > b.fits
		}
		return a.ex.ID < b.ex.ID
	})
	var chosen []*executor
	expected := float64(room)
	spare := spareAsked
	for _, o := range options[:min(len(options), most)] {
		if expected >= float64(need)*roomFactor {
			if spare == 0 {
				break
			}
			spare--
		}
		chosen = append(chosen, o.ex)
		if o.renewal {
			expected += float64(o.fits)
		} else {
			expected += share * float64(o.fits)
		}
	}
	return chosen
}

// gangFits reports whether a gang could find room among what may be allowed.
func (c *Core) gangFits(w *work, room, options int) bool {
	capacity, granted := c.room.Totals()
	free := capacity.CPUMillis - granted.CPUMillis
	return room+options > 0 && free >= w.spec.Reserved().CPUMillis*int64(w.spec.Count)
}

// fits returns how many tasks of the step an executor has room for.
func (c *Core) fits(w *work, ex *executor) int {
	free, _ := c.room.Free(ex.ID)
	n := int64(math.MaxInt32)
	need := w.spec.Reserved()
	if need.CPUMillis > 0 {
		n = min(n, free.CPUMillis/need.CPUMillis)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	if w.spec.MaxPerExecutor > 0 {
		n = min(n, int64(w.spec.MaxPerExecutor-w.onExecutor[ex.ID]))
	}
	return int(max(n, 0))
}

func (c *Core) share(queue string) *goodShare {
	s := c.shares[queue]
	if s == nil {
		s = &goodShare{value: firstShare}
		c.shares[queue] = s
	}
	return s
}

// Advised applies the answer to a question; ok is false when there was none.
func (c *Core) Advised(now time.Time, q *Question, tickets []fleet.Ticket, valid time.Duration, ok bool) {
	w := q.work
	w.asking = false
	w.untried = true
	if !ok {
		w.askAfter = now.Add(adviceRetry)
		return
	}
	allowed := make(map[string]bool, len(tickets))
	fresh, good := 0, 0
	for _, t := range tickets {
		allowed[t.Executor] = true
	}
	for id, life := range q.lives {
		if _, seen := w.judged[id]; !seen {
			fresh++
			if allowed[id] {
				good++
			}
		}
		w.judged[id] = life
	}
	c.Count.AdviceGood += int64(good)
	c.Log.WithField("job", w.job.ID).WithField("step", w.step.Step).WithField("asked", len(q.Executors)).
		WithField("good", len(tickets)).WithField("pending", len(w.pending)).
		WithField("took_ms", now.Sub(q.asked).Milliseconds()).Debug("advice answered")
	if fresh > 0 {
		s := c.share(w.queue.Name)
		s.value += shareWeight * (float64(good)/float64(fresh) - s.value)
		s.value = max(s.value, 0.05)
	}
	if valid <= 0 && w.queue.Advice != nil {
		valid = w.queue.Advice.TicketTTL
	}
	ids := make([]string, 0, len(tickets))
	for _, t := range tickets {
		ids = append(ids, t.Executor)
	}
	c.propose(w.job, ids)
	for _, t := range tickets {
		// The ticket counts from some time before its answer arrived.
		w.tickets[t.Executor] = ticket{value: t.Value, until: now.Add(valid), life: q.lives[t.Executor]}
	}
}
