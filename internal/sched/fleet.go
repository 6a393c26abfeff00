package sched

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/daisyrack/daisyrack/pkg/event"
)

// applyList takes up the workers of the platform's list.
func (t *term) applyList() {
	list, ok := t.owner.Instances()
	t.listApplied = t.listApplied || ok
	for _, inst := range list.Instances {
		if inst.Role != roleWorker || inst.FailureDomain != t.owner.FailureDomain {
			continue
		}
		m := fleetMember{Name: inst.Name, Address: inst.Address, Rack: inst.Rack, Incarnation: inst.Incarnation}
		t.applyInstance(m, inst.State)
	}
}

// startWorkers starts the duties of workers that have none yet.
func (t *term) startWorkers(d *duties) {
	for _, w := range t.workers {
		if w.stop == nil {
			t.startWorker(d, w)
		}
	}
}

func (t *term) applyInstance(m fleetMember, state string) {
	w, known := t.workers[m.Name]
	if !known {
		if state != stateGone {
			t.addWorker(m, false)
		}
		return
	}
	if m.Incarnation < w.member.Incarnation {
		return // The list lags behind what is known of this instance.
	}
	if m.Incarnation > w.member.Incarnation {
		t.replaceWorker(w, m)
	}
	switch state {
	case stateGone:
		t.workerGone(w)
	case stateLeaving:
		w.leaving = true
	case stateLive:
		w.leaving = false
	}
}

// replaceWorker takes up a new instance of the same name; the old one is gone.
func (t *term) replaceWorker(w *worker, m fleetMember) {
	t.loseTasks(w, "its worker was replaced")
	w.member = m
	w.claimed = false
	w.hasBase = false
	w.pendingAt = time.Time{}
	w.recorded = false
	w.gone = false
	t.fleetDirty = true
}

func (t *term) addWorker(m fleetMember, recorded bool) {
	w := &worker{member: m, recorded: recorded, tasks: make(map[string]*task)}
	t.workers[m.Name] = w
	t.reach.AddWorker(m.Name)
	if !recorded {
		t.fleetDirty = true
	}
}

func (t *term) workerGone(w *worker) {
	if w.gone {
		return
	}
	w.gone = true
	w.claimed = false
	t.reach.MarkGone(w.member.Name)
	t.emit(event.Event{Kind: event.WorkerGone, Worker: w.member.Name})
	t.loseTasks(w, "its worker is gone")
	t.cell.RemoveWorker(w.member.Name)
	t.fleetDirty = true
	t.wake = true
}

func (t *term) startWorker(d *duties, w *worker) {
	ctx, cancel := context.WithCancel(d.ctx)
	w.stop = cancel
	w.calls = make(chan call, 1)
	address, calls := w.member.Address, w.calls
	d.start(func(context.Context) { t.runWorker(ctx, w, address, calls) })
}

// fleetRow returns the workers that the next commit records.
func (t *term) fleetRow() ([]byte, []*worker, error) {
	var members []fleetMember
	var listed []*worker
	for _, w := range t.workers {
		if !w.gone {
			members = append(members, w.member)
			listed = append(listed, w)
		}
	}
	slices.SortFunc(members, func(a, b fleetMember) int { return strings.Compare(a.Name, b.Name) })
	text, err := json.Marshal(members)
	return text, listed, err
}
