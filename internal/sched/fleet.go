package sched

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/daisyrack/daisyrack/pkg/event"
)

// applyInstanceList updates the workers from the platform's instance list.
func (t *term) applyInstanceList() {
	list, ok := t.owner.Instances()
	t.listApplied = t.listApplied || ok
	for _, inst := range list.Instances {
		if inst.Role != roleWorker || inst.FailureDomain != t.owner.FailureDomain {
			continue
		}
		info := workerInfo{Name: inst.Name, Address: inst.Address, Rack: inst.Rack, Incarnation: inst.Incarnation}
		t.applyInstance(info, inst.State)
	}
}

// startWorkers starts the call goroutines of newly added workers.
func (t *term) startWorkers(g *goroutineGroup) {
	for _, w := range t.workers {
		if w.stop == nil {
			t.startWorker(g, w)
		}
	}
}

func (t *term) applyInstance(instance workerInfo, state string) {
	w, known := t.workers[instance.Name]
	if !known {
		if state != stateGone {
			t.addWorker(instance, false)
		}
		return
	}
	if instance.Incarnation < w.info.Incarnation {
		return // The entry is older than the incarnation that has been claimed.
	}
	if instance.Incarnation > w.info.Incarnation {
		t.replaceWorker(w, instance)
	}
	switch state {
	case stateGone:
		t.markGone(w)
	case stateLeaving:
		w.leaving = true
	case stateLive:
		w.leaving = false
	}
}

// replaceWorker handles a new incarnation of a worker; the tasks of the old one are lost.
func (t *term) replaceWorker(w *worker, instance workerInfo) {
	t.loseTasks(w, "its worker was replaced")
	w.info = instance
	w.claimed = false
	w.clockConfirmed = false
	w.unconfirmedAt = time.Time{}
	w.recorded = false
	w.gone = false
	t.fleetDirty = true
}

func (t *term) addWorker(instance workerInfo, recorded bool) {
	w := &worker{info: instance, recorded: recorded, tasks: make(map[string]*task)}
	t.workers[instance.Name] = w
	t.restartGuard.AddWorker(instance.Name)
	if !recorded {
		t.fleetDirty = true
	}
}

func (t *term) markGone(w *worker) {
	if w.gone {
		return
	}
	w.gone = true
	w.claimed = false
	t.restartGuard.MarkGone(w.info.Name)
	t.emit(event.Event{Kind: event.WorkerGone, Worker: w.info.Name})
	t.loseTasks(w, "its worker is gone")
	t.cell.RemoveWorker(w.info.Name)
	t.fleetDirty = true
	t.resumeSuspended = true
}

func (t *term) startWorker(g *goroutineGroup, w *worker) {
	ctx, cancel := context.WithCancel(g.ctx)
	w.stop = cancel
	w.calls = make(chan call, 1)
	address, calls := w.info.Address, w.calls
	g.start(func(context.Context) { t.runWorkerCalls(ctx, w, address, calls) })
}

// encodeFleet returns the fleet row with all workers that are not gone, and these workers.
func (t *term) encodeFleet() ([]byte, []*worker, error) {
	var infos []workerInfo
	var included []*worker
	for _, w := range t.workers {
		if !w.gone {
			infos = append(infos, w.info)
			included = append(included, w)
		}
	}
	slices.SortFunc(infos, func(a, b workerInfo) int { return strings.Compare(a.Name, b.Name) })
	data, err := json.Marshal(infos)
	return data, included, err
}
