package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// targetMs is the target of the tasks that serve. In the peak their tail is peakMs beside tasks that fill, and busyMs
	// while these are paced down to 0; after it, it is calmMs.
	targetMs, peakMs, busyMs, calmMs = 100, 95, 75, 20
	// beforeStop is how long the peak lasts before the planned stop, afterStop how long it goes on after it.
	beforeStop, afterStop = 8 * time.Second, 8 * time.Second
	// shortPeak is the length of the peak in which orders are late.
	shortPeak = 4500 * time.Millisecond
	// lateShare, in thousandths, and lateTime are those of applied_late in the site file.
	lateShare = 55
	lateTime  = 5500 * time.Millisecond
	// finishTime is finish_s of the site file. A job whose tasks fill is given as long as that after the peak, beside the
	// time for its work and for raising its pace.
	finishTime = 14 * time.Second
	raiseTime  = 6 * time.Second
)

// paced is a play with tasks that fill beside tasks that serve.
type paced struct {
	*rig
	serving, filling string
	peak             atomic.Bool
	// fillWork is how long a task that fills works at full pace.
	fillWork time.Duration
}

// begin starts a task that serves and some that fill on each executor, in a peak of the load.
func (p *paced) begin(executors, fillers int) error {
	p.serving, p.filling = newID(), newID()
	p.tailOf = func(job string, pace int) int {
		switch {
		case job != p.serving:
			return 0
		case !p.peak.Load():
			return calmMs
		case pace > 0:
			return peakMs
		}
		return busyMs
	}
	p.workOf = func(job string, _ order) time.Duration {
		if job == p.filling {
			return p.fillWork
		}
		return 0
	}
	p.store.put("op", "config", []byte(largeConfig))
	zones := []string{"a", "b", "c"}
	for i := range executors {
		if err := p.addExecutor(fmt.Sprintf("i-%02d", i), zones[i%3], fmt.Sprintf("r%d-%d", i%3+1, i/24)); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		p.addInstance(zone)
	}
	if err := p.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	serve, _ := json.Marshal(jobBody{Spec: "serve", Steps: []step{{
		Count: executors, CPU: 4000, MemMB: 1024, EstimateMs: 400, Perpetual: true, AntiAffinity: 1, Image: "shop", TargetMs: targetMs,
	}}})
	fill, _ := json.Marshal(jobBody{Spec: "fill", Steps: []step{{
		Count: executors * fillers, CPU: 2000, MemMB: 1024, EstimateMs: int(p.fillWork.Milliseconds()), AntiAffinity: fillers, Image: "index", Fills: true,
	}}})
	if err := p.handIn("/w/"+p.serving, serve); err != nil {
		return err
	}
	if !p.await(5*time.Second, func() bool { return p.startsOf(p.serving) >= executors }) {
		return fmt.Errorf("only %d tasks that serve have started", p.startsOf(p.serving))
	}
	p.peak.Store(true)
	p.note("the load of the tasks that serve has a peak")
	if err := p.handIn("/b/"+p.filling, fill); err != nil {
		return err
	}
	if !p.await(5*time.Second, func() bool { return p.startsOf(p.filling) >= executors*fillers }) {
		return fmt.Errorf("only %d tasks that fill have started", p.startsOf(p.filling))
	}
	return nil
}

// finish ends the peak and waits until the job whose tasks fill is completed. It is broken if it isn't, and a task of it
// stands still.
func (p *paced) finish() int {
	p.peak.Store(false)
	p.note("the peak is over")
	limit := raiseTime + p.fillWork + finishTime
	if p.await(limit, func() bool { return p.stateOf("/b/"+p.filling) == "completed" }) {
		p.note("the job whose tasks fill is completed")
		return held
	}
	still := 0
	for _, x := range p.executors {
		x.each(p.filling, func(w *work) {
			p.note("executor %s: %s has a pace of %d percent and has done %d of %d ms", x.id, w.task, w.percent, w.worked.Milliseconds(), w.length.Milliseconds())
			if w.percent == 0 {
				still++
			}
		})
	}
	p.note("the job whose tasks fill is still shown as %q, %s after the peak; %d of its tasks stand still", p.stateOf("/b/"+p.filling), limit, still)
	if still > 0 {
		return broken
	}
	return held
}

// pacedWork stops the owner in the peak, as planned, and another instance takes over.
func pacedWork(r *rig) (int, error) {
	p := &paced{rig: r, fillWork: 6 * time.Second}
	if err := p.begin(6, 1); err != nil {
		return couldNotRun, err
	}
	time.Sleep(beforeStop)
	if r.trouble {
		owner := r.owner()
		if owner == nil {
			return couldNotRun, fmt.Errorf("no instance owns the cell")
		}
		owner.restart()
	}
	time.Sleep(afterStop)
	return p.finish(), nil
}

// latePace lets a few of the orders be carried out late, among them some that pace tasks down.
func latePace(r *rig) (int, error) {
	p := &paced{rig: r, fillWork: 12 * time.Second}
	if err := p.begin(48, 4); err != nil {
		return couldNotRun, err
	}
	if r.trouble {
		r.note("%d of 1000 orders get no answer and are carried out late, for %s", lateShare, lateTime)
		r.setLateShare(lateShare)
		time.AfterFunc(lateTime, func() {
			r.setLateShare(0)
			orders, late := r.lateOrders()
			r.note("orders are carried out at once again; %d of %d were late", late, orders)
		})
	}
	time.Sleep(shortPeak)
	return p.finish(), nil
}

// stateOf returns the state of a job as a client is told it.
func (r *rig) stateOf(path string) string {
	var answer struct{ State string }
	if status, text := r.ask(http.MethodGet, path, nil); status == http.StatusOK {
		_ = json.NewDecoder(strings.NewReader(text)).Decode(&answer)
	}
	time.Sleep(200 * time.Millisecond)
	return answer.State
}
