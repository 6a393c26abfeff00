package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// aliveInterval is the maximum time between two batches of results. A relay without results sends
	// an empty batch, which shows that it is alive.
	aliveInterval = 100 * time.Millisecond

	// maxBatchCalls limits the calls or results in one batch, which keeps it far below the largest
	// message between instances.
	maxBatchCalls = 400
)

// Server makes the calls that owners of the cell send to this instance. Set the fields before Serve.
type Server struct {
	Executors fleet.Caller
	Log       log.Interface
}

// Serve serves the stream of one owner until it ends.
func (s *Server) Serve(ctx context.Context, open *wire.RelayOpen, stream *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Log.WithField("owner", open.GetOwner()).Info("relaying calls to executors for the owner")
	r := &resultWriter{stream: stream, interval: millis(open.GetBatchIntervalMs()), wake: make(chan struct{}, 1)}
	go func() {
		defer cancel()
		r.run(ctx)
	}()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	var texts textWindow
	for {
		var batch wire.RelayCalls
		if err := stream.Receive(&batch, 0); err != nil {
			s.Log.WithField("owner", open.GetOwner()).WithError(err).Info("no longer relaying calls for the owner")
			return
		}
		for _, compressed := range batch.GetTexts() {
			text, err := decompressText(compressed)
			if err != nil {
				s.Log.WithField("owner", open.GetOwner()).WithError(err).Error("closing the stream of the owner")
				return
			}
			texts.add(text)
		}
		for _, call := range batch.GetCalls() {
			text, known := texts.get(call.GetStart().GetText())
			if call.GetStart() != nil && !known {
				r.add(encodeResponse(call.GetId(), &fleet.Response{Status: fleet.Unavailable, Cause: "relay: text of the job is unknown"}))
				continue
			}
			go func() {
				resp := s.execute(ctx, call, text)
				r.add(encodeResponse(call.GetId(), &resp))
			}()
		}
	}
}

// execute makes one call to an executor.
func (s *Server) execute(ctx context.Context, call *wire.RelayCall, text string) fleet.Response {
	executedCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, millis(call.GetTimeoutMs()))
	defer cancel()
	e := fleet.Executor{ID: call.GetExecutor(), Address: call.GetAddress()}
	switch {
	case call.GetStart() != nil:
		return s.Executors.Start(ctx, e, decodeStart(call.GetStart(), call.GetEpoch(), text))
	case call.GetStop() != nil:
		t, number := decodeRun(call.GetStop().GetRun())
		return s.Executors.Stop(ctx, e, fleet.Stop{Task: t, Number: number, Epoch: call.GetEpoch()})
	case call.GetThrottle() != nil:
		t, number := decodeRun(call.GetThrottle().GetRun())
		return s.Executors.Throttle(ctx, e, fleet.Throttle{
			Task: t, Number: number, Percent: int(call.GetThrottle().GetPercent()), Epoch: call.GetEpoch(),
		})
	case call.GetPoll() != nil:
		p := call.GetPoll()
		return s.Executors.Poll(ctx, e, fleet.Poll{
			Epoch: call.GetEpoch(), AckedSequence: p.GetAckedSequence(), KnownSequence: p.GetKnownSequence(),
			Incarnation: p.GetIncarnation(), LeaseEnd: millis(p.GetLeaseEndMs()), Wait: millis(p.GetWaitMs()),
		})
	}
	return fleet.Response{Status: fleet.Malformed, Cause: "relay: call of an unknown kind"}
}

// resultWriter groups results into batches and sends them to the owner.
type resultWriter struct {
	stream   *peer.Stream
	interval time.Duration
	wake     chan struct{}

	mu      sync.Mutex
	results []*wire.RelayResult
}

func (r *resultWriter) add(result *wire.RelayResult) {
	r.mu.Lock()
	r.results = append(r.results, result)
	r.mu.Unlock()
	notify(r.wake)
}

func (r *resultWriter) take() []*wire.RelayResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.results), maxBatchCalls)
	out := r.results[:n:n]
	r.results = r.results[n:]
	if len(r.results) > 0 {
		notify(r.wake)
	}
	return out
}

// run sends results until ctx ends or the stream fails.
func (r *resultWriter) run(ctx context.Context) {
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-alive.C:
		}
		if err := r.stream.Send(&wire.RelayResults{Results: r.take()}, sendTimeout); err != nil {
			return
		}
		pause(ctx, r.interval)
	}
}

// notify wakes the goroutine that waits on a channel with a buffer of one.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
