package sched

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// workerInfo is a worker as recorded in the fleet row, which names every worker that an owner of
// the failure domain may have started tasks on.
type workerInfo struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Rack        string `json:"rack"`
	Incarnation int64  `json:"incarnation"`
}

// loadResult is the state that earlier owners stored: job records, the fleet row and learned sizes.
type loadResult struct {
	records []*JobRecord
	fleet   []workerInfo
	usage   []byte
}

// runLoader reads the stored state of the failure domain and retries until it succeeds.
func (t *term) runLoader(ctx context.Context) {
	for {
		l, err := t.readState(ctx)
		if err == nil {
			t.loadResults <- l
			return
		}
		t.owner.Log.WithError(err).Debug("unable to read stored state of the failure domain; retrying")
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadRetryDelay):
		}
	}
}

func (t *term) readState(ctx context.Context) (loadResult, error) {
	var l loadResult
	domain := t.owner.FailureDomain
	row, found, err := t.owner.ReadRow(ctx, fleetKey(domain))
	if err != nil {
		return l, errors.Wrap(err, "sched: unable to read fleet")
	}
	if found {
		if err := json.Unmarshal(row.Value, &l.fleet); err != nil {
			return l, errors.Wrap(err, "sched: unable to decode fleet")
		}
	}
	rows, _, err := t.owner.ReadRows(ctx, jobPrefix(domain))
	if err != nil {
		return l, errors.Wrap(err, "sched: unable to read jobs")
	}
	l.records, err = decodeRecords(rows)
	if err != nil {
		return l, err
	}
	l.usage = t.readUsage(ctx)
	return l, nil
}

func decodeRecords(rows []table.Row) ([]*JobRecord, error) {
	var records []*JobRecord
	for _, row := range rows {
		r, err := decodeRecord(row.Key, row.Value)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// readUsage returns the learned task sizes, or nil if there are none; declared sizes are used then.
func (t *term) readUsage(ctx context.Context) []byte {
	data, found, err := t.owner.GetObject(ctx, usageObjectName(t.owner.FailureDomain))
	if err != nil || !found {
		return nil
	}
	payload, _, err := table.DecodeObject(usageKind, data)
	if err != nil {
		t.owner.Log.WithError(err).Warn("unable to decode learned sizes; using declared sizes")
		return nil
	}
	return payload
}

// applyLoadResult restores the state that earlier owners stored.
func (t *term) applyLoadResult(l loadResult) {
	t.loaded = true
	if l.usage != nil {
		if err := t.book.Restore(l.usage); err != nil {
			t.owner.Log.WithError(err).Warn("unable to decode learned sizes; using declared sizes")
		}
	}
	for _, info := range l.fleet {
		t.addWorker(info, true)
	}
	for _, r := range l.records {
		jb := t.newJob(r)
		t.activate(jb, true)
	}
	t.reconcileConfig()
}

// resolveUncertain queues the uncertain tasks that can no longer be running on any unclaimed
// worker.
func (t *term) resolveUncertain(now time.Time) {
	if !t.loaded || !t.workersKnown() {
		return
	}
	touched := make(map[*job]struct{})
	for tk := range t.uncertain {
		if !t.restartGuard.MayRestartFromUnclaimed(tk.job.cutOffPolicy(), now) {
			continue
		}
		delete(t.uncertain, tk)
		if tk.dropped {
			t.deleteTask(tk)
			continue
		}
		t.makePending(tk, "")
		touched[tk.job] = struct{}{}
	}
	for jb := range touched {
		t.enqueuePending(jb)
	}
	if !t.recovered && t.allWorkersTried() {
		t.recovered = true
		took := now.Sub(t.startedAt)
		t.owner.counters.RecoveryMS.Store(took.Milliseconds())
		t.emit(event.Event{Kind: eventTermRecovered, Detail: took.String()})
	}
}

// allWorkersTried reports whether every worker has been claimed or has turned out to be
// unreachable.
func (t *term) allWorkersTried() bool {
	for _, w := range t.workers {
		if !w.gone && !w.claimed && w.failedCalls < maxFailedCalls {
			return false
		}
	}
	return t.workersKnown()
}

// workersKnown reports whether the instance list or the fleet row has named the workers.
func (t *term) workersKnown() bool {
	return t.listApplied || len(t.workers) > 0
}

func usageObjectName(domain string) string {
	return strings.ReplaceAll("usage/"+domain, " ", "_")
}
