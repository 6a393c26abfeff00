package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueSize is the number of lines that can wait to be written. While the queue is full, new
	// lines are dropped.
	queueSize = 4096

	// dropReportInterval is the minimum time between two log lines that report dropped lines.
	dropReportInterval = time.Second
)

var droppedTotal = metrics.NewCounter("log_lines_dropped_total")

// Writer queues log lines and writes them to Out from a goroutine of its own.
type Writer struct {
	Out io.Writer

	lines              chan []byte
	droppedSinceReport atomic.Int64
	// closing is closed by Close, done once the goroutine has ended.
	closing, done chan struct{}
}

// NewWriter returns a writer and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{Out: out, lines: make(chan []byte, queueSize), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line and never blocks. If the queue is full, it drops and counts the
// line. Lines written after Close are lost: a duty can outlive a shutdown that has run out of time. It always
// reports success.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.droppedSinceReport.Add(1)
		droppedTotal.Inc()
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.drain()
			return
		case <-ticker.C:
			if n := w.droppedSinceReport.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w.Out, `{"level":"warn","message":"log lines dropped","fields":{"lines":%d}}`+"\n", n)
			}
		}
	}
}

// drain writes the lines that are queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write ignores errors: there is no other place to report that the output is closed.
func (w *Writer) write(line []byte) {
	_, _ = w.Out.Write(line)
}
