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

// wordBoundary matches the place in a field name where snakeCase inserts an underscore.
var wordBoundary = regexp.MustCompile(`([a-z0-9])([A-Z])`)

// waitObserver returns a function that adds a waiting time to the histogram of its class.
func (inst *Instance) waitObserver(name string) func(class string, d time.Duration) {
	return func(class string, d time.Duration) {
		inst.metrics.GetOrCreateHistogram(fmt.Sprintf("%s{class=%q}", name, class)).Update(d.Seconds())
	}
}

// writeMetrics writes all metrics in the Prometheus text format.
func (inst *Instance) writeMetrics(w io.Writer) {
	writeCounters(w, "daisyrack_requests", inst.API.Counters())
	writeCounters(w, "daisyrack_owner", inst.Owner.Counters())
	writeCounters(w, "daisyrack_lease", &inst.Elector.Stats)
	writeCounters(w, "daisyrack_once", &inst.Once.Stats)
	group := inst.GroupCommit.Stats()
	writeCounters(w, "daisyrack_group_commit", &group)
	routing := inst.Router.Stats()
	writeCounters(w, "daisyrack_routing", &routing)
	writeGauge(w, "daisyrack_store_calls_total", inst.Table.Calls.Load())
	writeGauge(w, "daisyrack_store_lost_answers_total", inst.Table.LostAnswers.Load())
	writeGauge(w, "daisyrack_config_revision", inst.Config.Current().Revision)
	writeGauge(w, "daisyrack_owned_epoch", inst.Owner.Epoch())
	writeGauge(w, "daisyrack_events_dropped_total", int64(inst.EventRing.Dropped()))
	inst.writeQueue(w)
	inst.metrics.WritePrometheus(w)
}

// writeCounters writes the exported numeric fields of a struct as metrics that are named after the
// fields.
func writeCounters(w io.Writer, prefix string, counters any) {
	v := reflect.ValueOf(counters).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		if value, ok := counterValue(v.Field(i)); ok {
			writeGauge(w, prefix+"_"+snakeCase(field.Name)+"_total", value)
		}
	}
}

func counterValue(v reflect.Value) (int64, bool) {
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

func snakeCase(name string) string {
	return strings.ToLower(wordBoundary.ReplaceAllString(name, "${1}_${2}"))
}

func writeGauge(w io.Writer, name string, value int64) {
	_, _ = fmt.Fprintf(w, "%s %d\n", name, value)
}

// writeQueue writes the number of waiting requests of each class.
func (inst *Instance) writeQueue(w io.Writer) {
	stats := inst.Dispatcher.Stats()
	for class, counts := range stats.Class {
		_, _ = fmt.Fprintf(w, "daisyrack_queue_waiting{class=%q} %d\n", queue.Class(class), counts.Waiting)
	}
}
