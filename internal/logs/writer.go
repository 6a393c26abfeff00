package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// backlog is the number of lines that may wait to be written; further ones are dropped.
	backlog = 4096

	// dropReport is the time between two lines that tell how many were dropped.
	dropReport = time.Second
)

var dropped = metrics.NewCounter("log_lines_dropped_total")

// Writer passes lines on to another writer from a goroutine of its own.
type Writer struct {
	Out io.Writer

	lines chan []byte
	lost  atomic.Int64
	done  chan struct{}
}

// NewWriter returns a running writer; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{Out: out, lines: make(chan []byte, backlog), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops and counts it when too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
		dropped.Inc()
	}
	return len(line), nil
}

// Close writes what waits and ends the writer. No line may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return
			}
			// Nothing can be done about a closed standard output.
			_, _ = w.Out.Write(line)
		case <-ticker.C:
			if n := w.lost.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w.Out, `{"level":"warn","message":"log lines dropped","fields":{"lines":%d}}`+"\n", n)
			}
		}
	}
}
