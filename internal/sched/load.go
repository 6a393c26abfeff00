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

// fleetMember is a worker that this failure domain's owners may have used.
type fleetMember struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Rack        string `json:"rack"`
	Incarnation int64  `json:"incarnation"`
}

// loadResult is what earlier owners left in the platform's services.
type loadResult struct {
	records []*JobRecord
	fleet   []fleetMember
	usage   []byte
}

// runLoader reads the state of the failure domain, again until it succeeds.
func (t *term) runLoader(ctx context.Context) {
	for {
		l, err := t.readState(ctx)
		if err == nil {
			t.loads <- l
			return
		}
		t.owner.Log.WithError(err).Debug("state of the failure domain not read")
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadRetry):
		}
	}
}

func (t *term) readState(ctx context.Context) (loadResult, error) {
	var l loadResult
	domain := t.owner.FailureDomain
	row, found, err := t.owner.Row(ctx, fleetKey(domain))
	if err != nil {
		return l, errors.Wrap(err, "sched: unable to read fleet")
	}
	if found {
		if err := json.Unmarshal(row.Value, &l.fleet); err != nil {
			return l, errors.Wrap(err, "sched: unable to decode fleet")
		}
	}
	rows, _, err := t.owner.Rows(ctx, jobPrefix(domain))
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

// readUsage returns the learned sizes; without them declared sizes are used.
func (t *term) readUsage(ctx context.Context) []byte {
	text, found, err := t.owner.Object(ctx, usageObject(t.owner.FailureDomain))
	if err != nil || !found {
		return nil
	}
	payload, _, err := table.Open(usageKind, text)
	if err != nil {
		t.owner.Log.WithError(err).Warn("learned sizes refused")
		return nil
	}
	return payload
}

// load takes up what earlier owners left.
func (t *term) load(l loadResult) {
	t.loaded = true
	if l.usage != nil {
		if err := t.book.Restore(l.usage); err != nil {
			t.owner.Log.WithError(err).Warn("learned sizes refused")
		}
	}
	for _, m := range l.fleet {
		t.addWorker(m, true)
	}
	for _, r := range l.records {
		jb := t.newJob(r)
		t.activate(jb, true)
	}
	t.followConfig()
}

// clearUncertain queues the tasks that can not run on any worker any more.
func (t *term) clearUncertain(now time.Time) {
	if !t.loaded || !t.listed() {
		return
	}
	touched := make(map[*job]struct{})
	for tk := range t.uncertain {
		if !t.reach.MayRestartFromUnclaimed(tk.job.cutOff(), now) {
			continue
		}
		delete(t.uncertain, tk)
		if tk.dropped {
			t.forgetTask(tk)
			continue
		}
		t.makePending(tk, "")
		touched[tk.job] = struct{}{}
	}
	for jb := range touched {
		t.admitPending(jb)
	}
	if !t.recovered && t.reachedAll() {
		t.recovered = true
		took := now.Sub(t.began)
		t.owner.stats.RecoveryMS.Store(took.Milliseconds())
		t.emit(event.Event{Kind: termRecovered, Detail: took.String()})
	}
}

// reachedAll tells whether every worker was claimed or could not be reached.
func (t *term) reachedAll() bool {
	for _, w := range t.workers {
		if !w.gone && !w.claimed && w.misses < maxMisses {
			return false
		}
	}
	return t.listed()
}

// listed tells whether the platform's list or the fleet row named the workers.
func (t *term) listed() bool {
	return t.listApplied || len(t.workers) > 0
}

func usageObject(domain string) string {
	return strings.ReplaceAll("usage/"+domain, " ", "_")
}
