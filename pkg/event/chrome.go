package event

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// traceEvent is one element of the Chrome trace event format.
type traceEvent struct {
	Name string `json:"name"`
	// Phase is X for a complete event with a duration, i for an instant and M for metadata.
	Phase     string         `json:"ph"`
	Timestamp int64          `json:"ts"`
	Duration  int64          `json:"dur,omitempty"`
	Process   int            `json:"pid"`
	Thread    int            `json:"tid"`
	Scope     string         `json:"s,omitempty"`
	Category  string         `json:"cat,omitempty"`
	Args      map[string]any `json:"args,omitempty"`
}

// traceWriter assigns process and thread ids: each instance is a process of the trace, and
// each worker, backend server or job of its events is a thread of that process.
type traceWriter struct {
	processes map[string]int
	threads   map[[2]string]int
	emit      func(traceEvent) error
}

// WriteChromeTrace writes events in the Chrome trace event format (JSON). Events are recorded
// at their end, so an event with a duration starts that long before its time.
func WriteChromeTrace(w io.Writer, events []Event) error {
	buffer := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffer)
	separator := "{\"displayTimeUnit\":\"ms\",\"traceEvents\":[\n"
	emit := func(t traceEvent) error {
		if _, err := buffer.WriteString(separator); err != nil {
			return err
		}
		separator = ","
		return encoder.Encode(t)
	}
	tw := traceWriter{processes: map[string]int{}, threads: map[[2]string]int{}, emit: emit}
	for _, e := range events {
		if err := tw.writeEvent(e); err != nil {
			return errors.Wrap(err, "event: unable to write trace")
		}
	}
	end := "]}\n"
	if len(events) == 0 {
		end = separator + end
	}
	if _, err := buffer.WriteString(end); err != nil {
		return errors.Wrap(err, "event: unable to write trace")
	}
	return errors.Wrap(buffer.Flush(), "event: unable to write trace")
}

func (w *traceWriter) writeEvent(e Event) error {
	process, err := w.processID(e.Instance)
	if err != nil {
		return err
	}
	thread, err := w.threadID(process, e)
	if err != nil {
		return err
	}
	t := traceEvent{
		Name:      e.Kind,
		Phase:     "i",
		Scope:     "t",
		Timestamp: WallTime(e.Time).UnixMicro(),
		Process:   process,
		Thread:    thread,
		Category:  category(e.Kind),
		Args:      eventArgs(e),
	}
	if e.DurationUS > 0 {
		t.Phase, t.Scope = "X", ""
		t.Duration = e.DurationUS
		t.Timestamp -= e.DurationUS
	}
	return w.emit(t)
}

func (w *traceWriter) processID(instance string) (int, error) {
	if id, ok := w.processes[instance]; ok {
		return id, nil
	}
	id := len(w.processes) + 1
	w.processes[instance] = id
	return id, w.emit(metadataEvent("process_name", instance, id, 0))
}

func (w *traceWriter) threadID(process int, e Event) (int, error) {
	name := threadName(e)
	key := [2]string{e.Instance, name}
	if id, ok := w.threads[key]; ok {
		return id, nil
	}
	id := len(w.threads) + 1
	w.threads[key] = id
	return id, w.emit(metadataEvent("thread_name", name, process, id))
}

func metadataEvent(kind, value string, process, thread int) traceEvent {
	return traceEvent{
		Name:    kind,
		Phase:   "M",
		Process: process,
		Thread:  thread,
		Args:    map[string]any{"name": value},
	}
}

// threadName returns the most specific entity that the event refers to.
func threadName(e Event) string {
	switch {
	case e.Worker != "":
		return "worker " + e.Worker
	case e.Backend != "":
		return "backend " + e.Backend
	case e.Job != "":
		return "job " + e.Job
	case e.Request != "":
		return "requests"
	}
	return "instance"
}

// category returns the part of kind before its first underscore.
func category(kind string) string {
	for i, r := range kind {
		if r == '_' {
			return kind[:i]
		}
	}
	return kind
}

func eventArgs(e Event) map[string]any {
	all := map[string]any{"sequence": e.Sequence, "hybrid_time": e.Time}
	fields := map[string]string{
		"request": e.Request,
		"job":     e.Job,
		"task":    e.Task,
		"worker":  e.Worker,
		"backend": e.Backend,
		"detail":  e.Detail,
	}
	for key, value := range fields {
		if value != "" {
			all[key] = value
		}
	}
	return all
}
