package entry

import (
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/daisyrack/daisyrack/pkg/queue"
)

var wordStart = regexp.MustCompile(`([a-z0-9])([A-Z])`)

// waited returns a function that adds to the histogram of waiting times by class.
func (n *Instance) waited(name string) func(class string, d time.Duration) {
	return func(class string, d time.Duration) {
		n.metrics.GetOrCreateHistogram(fmt.Sprintf("%s{class=%q}", name, class)).Update(d.Seconds())
	}
}

// writeMetrics writes the counters of all parts in the text format of the metrics page.
func (n *Instance) writeMetrics(w io.Writer) {
	writeCounters(w, "daisyrack_requests", n.API.Counters())
	writeCounters(w, "daisyrack_owner", n.Owner.Counters())
	writeCounters(w, "daisyrack_lease", &n.Elector.Stats)
	writeCounters(w, "daisyrack_once", &n.Once.Stats)
	group := n.GroupCommit.Stats()
	writeCounters(w, "daisyrack_group_commit", &group)
	routing := n.Router.Stats()
	writeCounters(w, "daisyrack_routing", &routing)
	writeGauge(w, "daisyrack_store_calls_total", n.Table.Calls.Load())
	writeGauge(w, "daisyrack_store_lost_answers_total", n.Table.LostAnswers.Load())
	writeGauge(w, "daisyrack_config_revision", n.Config.Current().Revision)
	writeGauge(w, "daisyrack_owned_epoch", n.Owner.Epoch())
	writeGauge(w, "daisyrack_events_dropped_total", int64(n.EventRing.Dropped()))
	n.writeQueue(w)
	n.metrics.WritePrometheus(w)
}

// writeCounters writes the numeric fields of a struct of counters.
func writeCounters(w io.Writer, prefix string, counters any) {
	v := reflect.ValueOf(counters).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		if value, ok := number(v.Field(i)); ok {
			writeGauge(w, prefix+"_"+snake(field.Name)+"_total", value)
		}
	}
}

func number(v reflect.Value) (int64, bool) {
	if v.CanAddr() {
		switch counter := v.Addr().Interface().(type) {
		case *atomic.Int64:
			return counter.Load(), true
		case *atomic.Uint64:
			return int64(counter.Load()), true
		}
	}
	switch {
	case v.CanInt():
		return v.Int(), true
	case v.CanUint():
		return int64(v.Uint()), true
	default:
		return 0, false
	}
}

func snake(name string) string {
	return strings.ToLower(wordStart.ReplaceAllString(name, "${1}_${2}"))
}

func writeGauge(w io.Writer, name string, value int64) {
	_, _ = fmt.Fprintf(w, "%s %d\n", name, value)
}

// writeQueue writes the waiting requests by class.
func (n *Instance) writeQueue(w io.Writer) {
	stats := n.Dispatcher.Stats()
	for class, counts := range stats.Class {
		_, _ = fmt.Fprintf(w, "daisyrack_queue_waiting{class=%q} %d\n", queue.Class(class), counts.Waiting)
	}
}
