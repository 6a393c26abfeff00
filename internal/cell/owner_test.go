package cell_test

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/ledger"
)

type owner struct {
	core    *cell.Core
	w       *world
	cut     map[string]bool // executors out of reach
	dead    bool
	busy    bool
	asking  int
	away    bool // the store is out of reach
	looking map[string]bool
	twice   map[string]bool
}

// takeOver makes a new owner, which reads the rows and claims the executors.
func (w *world) takeOver() *owner {
	w.fence++
	logger := &log.Logger{Handler: log.HandlerFunc(w.print), Level: log.FatalLevel}
	if traced() {
		logger.Level = log.DebugLevel
	}
	o := &owner{w: w, cut: make(map[string]bool), looking: make(map[string]bool), twice: make(map[string]bool)}
	o.core = &cell.Core{Epoch: w.fence, Lease: lease, Taken: w.now, Log: logger}
	o.core.Begin(w.policy, w.now)
	o.core.Restore(w.now, w.scan(ledger.JobPrefix), w.scan(ledger.ProgressPrefix), w.scan(ledger.EndPrefix))
	w.owners = append(w.owners, o)
	w.after(messageLag, func() {
		for _, x := range w.sorted() {
			o.found(x)
		}
	})
	w.after(messageLag, o.tick)
	return o
}

func (o *owner) found(x *fakeExecutor) {
	e := x.Executor
	e.Incarnation = x.life
	o.core.SetExecutor(o.w.now, e)
	if !o.looking[x.ID] {
		o.looking[x.ID] = true
		o.look(x.ID, false)
	}
}

func (o *owner) tick() {
	if o.dead {
		return
	}
	o.core.Tick(o.w.now)
	o.act()
	for _, id := range o.core.Executors() {
		if !o.twice[id] && o.core.LooksTwice(id) {
			o.twice[id] = true
			o.look(id, true)
		}
	}
	o.w.after(25*time.Millisecond, o.tick)
}

func (o *owner) act() {
	w := o.w
	if o.dead || o.core.Deposed {
		o.dead = true
		return
	}
	o.core.Schedule(w.now)
	o.ask()
	for _, order := range o.core.Orders() {
		o.send(order)
	}
	o.commit()
}

// ask plays the policy service, which decides by a hash of step and executor.
func (o *owner) ask() {
	w := o.w
	for w.goodShare > 0 && o.asking < advisers {
		q := o.core.NextQuestion(w.now, o.asking > advisers*3/4)
		if q == nil {
			return
		}
		o.asking++
		a := w.policy.Queue(specs[w.t.Name()+q.Step.Job].Queue).Advice
		w.after(a.BaseLatency+a.LatencyPerExecutor*time.Duration(len(q.Executors)), func() {
			o.asking--
			var good []fleet.Ticket
			for _, id := range q.Executors {
				h := fnv.New32a()
				_, _ = fmt.Fprint(h, q.Step, id)
				if float64(h.Sum32()%1000) < w.goodShare*1000 {
					good = append(good, fleet.Ticket{Executor: id, Value: "t"})
				}
			}
			if !o.dead {
				o.core.Advised(w.now, q, good, a.TicketTTL, true)
				o.act()
			}
		})
	}
}

func (o *owner) commit() {
	w := o.w
	due := o.core.CommitDue(w.now)
	if o.busy {
		return
	}
	renew := w.now.Sub(time.Unix(0, 0))%(400*time.Millisecond) < 30*time.Millisecond
	if !due && !renew {
		return
	}
	b, err := o.core.NextBatch()
	if err != nil {
		w.t.Fatal(err)
	}
	o.busy = true
	sent := w.now
	var try func()
	try = func() {
		if o.dead {
			return
		}
		if w.storeRefuses {
			w.after(messageLag, func() {
				o.busy = false
				o.core.Refused(w.now, b)
			})
			return
		}
		if w.storeDown || o.away {
			w.after(100*time.Millisecond, func() { sent = w.now; try() })
			return
		}
		if o.core.Epoch != w.fence {
			o.core.Deposed = true
			o.dead = true
			return
		}
		for _, put := range b.Puts {
			w.rows[put.Key] = put.Value
		}
		for _, key := range b.Deletes {
			delete(w.rows, key)
		}
		w.after(messageLag, func() {
			o.busy = false
			o.core.Proven(sent)
			o.core.Committed(w.now, b)
			for _, id := range b.Ended() {
				w.ended[id] = w.now
			}
			o.act()
		})
	}
	w.after(8*time.Millisecond, try)
}

func (o *owner) reaches(x *fakeExecutor) bool {
	return x != nil && !x.cut && !x.down && !o.cut[x.ID]
}

func (o *owner) look(id string, second bool) {
	w := o.w
	if o.dead {
		return
	}
	if second && !o.core.LooksTwice(id) {
		delete(o.twice, id)
		return
	}
	e, look, known := o.core.NextLook(id)
	if !known {
		delete(o.looking, id)
		return
	}
	sent := w.now
	w.after(messageLag, func() {
		x := w.execs[e.ID]
		if !o.reaches(x) || look.Epoch < x.fence {
			o.looked(id, sent, look, second)
			return
		}
		x.forget(look.AckedSequence, look.Epoch)
		x.fence = look.Epoch
		x.until = max(x.until, look.LeaseEnd)
		answered := false
		answer := func() {
			if !answered {
				answered = true
				o.looked(id, sent, look, second)
			}
		}
		if look.Wait == 0 || len(x.ends) > 0 {
			answer()
			return
		}
		x.waiting = append(x.waiting, answer)
		w.after(look.Wait, answer)
	})
}

func (o *owner) looked(id string, sent time.Time, look fleet.Poll, second bool) {
	w := o.w
	x := w.execs[id]
	ans := fleet.Response{Status: fleet.NoResponse}
	delay := messageLag
	if !o.reaches(x) || w.rng.Float64() < w.lostLooks {
		delay = max(look.Timeout-w.now.Sub(sent), 0)
	} else if look.Epoch < x.fence {
		ans = fleet.Response{Status: fleet.Fenced}
	} else {
		ans = x.list(w)
	}
	w.after(delay, func() {
		if o.dead {
			return
		}
		o.core.Looked(w.now, sent, id, ans)
		pause := o.core.LookPause(id)
		w.after(pause, func() { o.look(id, second) })
		o.act()
	})
}

func (o *owner) send(order cell.Order) {
	w := o.w
	w.sent = append(w.sent, order)
	delay := messageLag + time.Duration(w.rng.IntN(3))*time.Millisecond
	silent := w.rng.Float64() < w.lateShare
	if silent {
		delay = 2*time.Second + time.Duration(w.rng.IntN(6000))*time.Millisecond
	}
	reply := func(ans fleet.Response) {
		if !o.dead {
			o.core.Ordered(w.now, order, ans)
			o.act()
		}
	}
	id := order.Executor.ID
	received, arrives := w.execs[id].life, o.reaches(w.execs[id])
	w.after(delay, func() {
		x := w.execs[id]
		if silent && (!arrives || x.life != received) {
			return // the executor never got the order, or held it and has forgotten it
		}
		if !o.reaches(x) {
			if !silent {
				w.after(300*time.Millisecond, func() { reply(fleet.Response{Status: fleet.NoResponse}) })
			}
			return
		}
		ans := x.obey(w, order)
		if !silent {
			w.after(messageLag, func() { reply(ans) })
		}
	})
	if silent {
		w.after(300*time.Millisecond, func() { reply(fleet.Response{Status: fleet.NoResponse}) })
	}
}
