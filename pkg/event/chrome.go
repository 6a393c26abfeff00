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

// lanes numbers the processes and threads of a trace: one process for each
// instance, and in it one thread for each worker, backend server or job.
type lanes struct {
	processes map[string]int
	threads   map[[2]string]int
	emit      func(traceEvent) error
}

// WriteChromeTrace writes events as JSON of the Chrome trace event format. An event
// with a duration is drawn as the time before it was recorded.
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
	l := lanes{processes: map[string]int{}, threads: map[[2]string]int{}, emit: emit}
	for _, e := range events {
		if err := l.write(e); err != nil {
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

func (l *lanes) write(e Event) error {
	process, err := l.process(e.Instance)
	if err != nil {
		return err
	}
	thread, err := l.thread(process, e)
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
		Args:      args(e),
	}
	if e.DurationUS > 0 {
		t.Phase, t.Scope = "X", ""
		t.Duration = e.DurationUS
		t.Timestamp -= e.DurationUS
	}
	return l.emit(t)
}

func (l *lanes) process(instance string) (int, error) {
	if id, ok := l.processes[instance]; ok {
		return id, nil
	}
	id := len(l.processes) + 1
	l.processes[instance] = id
	return id, l.emit(name("process_name", instance, id, 0))
}

func (l *lanes) thread(process int, e Event) (int, error) {
	lane := laneOf(e)
	key := [2]string{e.Instance, lane}
	if id, ok := l.threads[key]; ok {
		return id, nil
	}
	id := len(l.threads) + 1
	l.threads[key] = id
	return id, l.emit(name("thread_name", lane, process, id))
}

func name(kind, value string, process, thread int) traceEvent {
	return traceEvent{
		Name:    kind,
		Phase:   "M",
		Process: process,
		Thread:  thread,
		Args:    map[string]any{"name": value},
	}
}

// laneOf returns the most specific place that the event names.
func laneOf(e Event) string {
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

// category is the part of the kind before its first underscore.
func category(kind string) string {
	for i, r := range kind {
		if r == '_' {
			return kind[:i]
		}
	}
	return kind
}

func args(e Event) map[string]any {
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
