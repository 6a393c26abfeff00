package relay

import (
	"math"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

func encodeRun(t fleet.TaskID, number int64) *wire.RelayRun {
	return &wire.RelayRun{
		Job: t.Job, Occurrence: int64(t.Occurrence), Step: int64(t.Step), Index: int64(t.Index), Number: number,
	}
}

func decodeRun(r *wire.RelayRun) (fleet.TaskID, int64) {
	return fleet.TaskID{
		Job: r.GetJob(), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep()), Index: int(r.GetIndex()),
	}, r.GetNumber()
}

// encodeStart encodes a start without its text, which is sent once for all tasks of a job.
func encodeStart(s *fleet.Start) *wire.RelayStart {
	return &wire.RelayStart{
		Run: encodeRun(s.Task, s.Number), Checkpoint: s.Checkpoint, Ticket: s.Ticket, LeaseEndMs: s.LeaseEnd.Milliseconds(),
		Incarnation: s.Incarnation,
	}
}

func decodeStart(s *wire.RelayStart, epoch int64, text string) fleet.Start {
	t, number := decodeRun(s.GetRun())
	return fleet.Start{
		Task: t, Number: number, Text: text, Checkpoint: s.GetCheckpoint(), Ticket: s.GetTicket(),
		LeaseEnd: millis(s.GetLeaseEndMs()), Incarnation: s.GetIncarnation(), Epoch: epoch,
	}
}

func encodeResponse(id int64, r *fleet.Response) *wire.RelayResult {
	out := &wire.RelayResult{
		Id: id, Status: int64(r.Status), Cause: r.Cause, HasClock: r.HasClock, ClockMs: r.Clock.Milliseconds(), Incarnation: r.Incarnation, Partial: r.Partial,
	}
	for i := range r.Runs {
		run := &r.Runs[i]
		out.Runs = append(out.Runs, &wire.RelayListedRun{
			Run: encodeRun(run.Task, run.Number), Checkpoint: run.Checkpoint,
			PercentHundredths: int64(math.Round(run.Percent * 100)), Metric: int64(math.Round(run.Metric)),
		})
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		out.Ends = append(out.Ends, &wire.RelayEnd{
			Sequence: e.Sequence, Run: encodeRun(e.Task, e.Number), Kind: int64(e.Kind), Checkpoint: e.Checkpoint,
		})
	}
	return out
}

func decodeResponse(r *wire.RelayResult) fleet.Response {
	out := fleet.Response{
		Status: fleet.Status(r.GetStatus()), Cause: r.GetCause(), HasClock: r.GetHasClock(), Clock: millis(r.GetClockMs()),
		Incarnation: r.GetIncarnation(), Partial: r.GetPartial(),
	}
	for _, run := range r.GetRuns() {
		t, number := decodeRun(run.GetRun())
		out.Runs = append(out.Runs, fleet.Run{
			Task: t, Number: number, Checkpoint: run.GetCheckpoint(), Percent: float64(run.GetPercentHundredths()) / 100, Metric: float64(run.GetMetric()),
		})
	}
	for _, e := range r.GetEnds() {
		t, number := decodeRun(e.GetRun())
		out.Ends = append(out.Ends, fleet.End{
			Sequence: e.GetSequence(), Task: t, Number: number, Kind: fleet.EndKind(e.GetKind()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return out
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
