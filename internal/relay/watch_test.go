package relay_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/relay"
)

const (
	ms = time.Millisecond

	// An attempt waits for a margin beyond the hold.
	responseMargin      = 250 * ms
	lossyResponseMargin = 120 * ms
)

var (
	watchStart = time.Unix(1000, 0)
	watched    = fleet.Poll{Epoch: 2, AckedSequence: 3, KnownSequence: 5, Incarnation: 7, LeaseEnd: 9 * time.Second, Wait: 700 * ms}
	// firstPoll is the poll of an owner that knows nothing of the executor: after a missed poll, or of a former version.
	firstPoll = fleet.Poll{Epoch: 2, AckedSequence: 3, Wait: 700 * ms}
	noReply   = fleet.Response{Status: fleet.NoResponse, Cause: "timeout"}
)

// listed returns a response of an incarnation with the given runs and ended runs.
func listed(incarnation int64, runs []int64, ends ...int64) fleet.Response {
	resp := fleet.Response{Status: fleet.Executed, Incarnation: incarnation}
	for _, n := range runs {
		resp.Runs = append(resp.Runs, fleet.Run{Task: fleet.TaskID{Job: "j"}, Number: n})
	}
	for _, n := range ends {
		resp.Ends = append(resp.Ends, fleet.End{Sequence: n, Task: fleet.TaskID{Job: "j"}, Number: n})
	}
	return resp
}

// step is one attempt of a poll: its expected hold and acknowledged sequence, when its response arrives, the response,
// and what has to follow: another attempt after the pause, or the result. Times are in milliseconds.
type step struct {
	wait, acked, at int64
	resp            fleet.Response
	pause           int64
	result          *fleet.Response
}

func runSteps(t *testing.T, poll fleet.Poll, lossy bool, told *relay.Told, steps []step) (lost int) {
	t.Helper()
	w, due := relay.NewWatch(watchStart, poll, lossy, told), watchStart
	for i, s := range steps {
		want := poll
		want.Wait, want.AckedSequence = time.Duration(s.wait)*ms, s.acked
		want.Timeout = want.Wait + responseMargin
		if lossy {
			want.Timeout = want.Wait + lossyResponseMargin
		}
		if s.acked == 0 {
			want.LeaseEnd = 0 // on the clock of a former incarnation
		}
		assert.DeepEqual(t, w.Next(due), want)
		now := watchStart.Add(time.Duration(s.at) * ms)
		result, done, pause := w.Handle(now, due, s.resp)
		assert.Equal(t, done, s.result != nil, "attempt %d", i)
		assert.Equal(t, pause, time.Duration(s.pause)*ms, "attempt %d", i)
		if done {
			assert.DeepEqual(t, result, *s.result)
		}
		due = now.Add(pause)
	}
	return w.Lost
}

// The owner hears late of an end, or takes a live executor for a silent one, if an attempt is repeated too late, too
// seldom or with a hold; it is flooded if a response without news is passed on.
func TestAttemptsOfAPoll(t *testing.T) {
	runs := []int64{1, 2}
	idle, known, restarted, noStart := listed(7, runs), listed(7, runs, 4, 5), listed(8, runs, 4, 5), listed(0, runs, 1)
	ended, news := listed(7, runs, 4, 5, 6, 7), listed(7, runs, 6, 7)
	news.Partial = true
	fenced, wrong := fleet.Response{Status: fleet.Fenced, Cause: "c"}, fleet.Response{Status: fleet.WrongExecutor}
	unavailable, malformed := fleet.Response{Status: fleet.Unavailable}, fleet.Response{Status: fleet.Malformed}
	for name, c := range map[string]struct {
		poll  fleet.Poll
		lossy bool
		lost  int
		steps []step
	}{
		"lost":                     {watched, false, 1, []step{{700, 3, 850, noReply, 0, nil}, {0, 0, 852, idle, 0, &idle}}},
		"lost end":                 {watched, false, 1, []step{{700, 3, 100, noReply, 0, nil}, {0, 0, 102, ended, 0, &news}}},
		"lost early, then a hold":  {watched, false, 1, []step{{700, 3, 10, noReply, 0, nil}, {0, 0, 12, idle, 0, nil}, {688, 3, 701, idle, 0, &idle}}},
		"silent":                   {watched, false, 0, []step{{700, 3, 850, noReply, 0, nil}, {0, 0, 1000, noReply, 0, &noReply}}},
		"silent, lossy":            {watched, true, 0, []step{{400, 3, 520, noReply, 0, nil}, {0, 0, 640, noReply, 0, nil}, {0, 0, 760, noReply, 0, nil}, {0, 0, 880, noReply, 0, nil}, {0, 0, 1000, noReply, 0, nil}, {0, 0, 1120, noReply, 0, &noReply}}},
		"silent, missed":           {firstPoll, false, 0, []step{{700, 3, 850, noReply, 0, &noReply}}},
		"silent, missed, lossy":    {firstPoll, true, 0, []step{{400, 3, 520, noReply, 0, nil}, {0, 0, 640, noReply, 0, nil}, {0, 0, 760, noReply, 0, nil}, {0, 0, 880, noReply, 0, nil}, {0, 0, 1000, noReply, 0, nil}, {0, 0, 1120, noReply, 0, &noReply}}},
		"counts anew":              {watched, false, 1, []step{{700, 3, 10, noReply, 0, nil}, {0, 0, 20, idle, 0, nil}, {680, 3, 30, noReply, 0, nil}, {0, 0, 40, noReply, 0, &noReply}}},
		"known ends":               {watched, false, 0, []step{{700, 3, 2, known, 60, nil}, {638, 3, 64, known, 60, nil}, {576, 3, 690, known, 10, nil}, {0, 3, 702, known, 0, &known}}},
		"new end":                  {watched, false, 0, []step{{700, 3, 2, ended, 0, &news}}},
		"end of the wait":          {watched, false, 0, []step{{700, 3, 700, idle, 0, &idle}}},
		"new end, end of the wait": {watched, false, 0, []step{{700, 3, 700, ended, 0, &ended}}},
		"holds, lossy":             {watched, true, 0, []step{{400, 3, 402, idle, 0, nil}, {298, 3, 702, idle, 0, &idle}}},
		"another incarnation":      {watched, false, 0, []step{{700, 3, 2, restarted, 0, &restarted}}},
		"fenced":                   {watched, true, 0, []step{{400, 3, 1, fenced, 0, &fenced}}},
		"wrong executor":           {watched, true, 0, []step{{400, 3, 1, wrong, 0, &wrong}}},
		"unavailable":              {watched, true, 0, []step{{400, 3, 1, unavailable, 0, &unavailable}}},
		"malformed":                {watched, true, 0, []step{{400, 3, 1, malformed, 0, &malformed}}},
		"former owner":             {firstPoll, false, 0, []step{{700, 3, 2, known, 0, &known}}},
		"former owner, no start":   {firstPoll, false, 0, []step{{700, 3, 2, noStart, 0, &noStart}}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, runSteps(t, c.poll, c.lossy, &relay.Told{}, c.steps), c.lost)
		})
	}
}

// A run that the owner was told is left out of the news of an end, which is sent for each end; one that it was not
// told must not be, because the owner would only hear of it at the end of the wait.
func TestRunsAreToldOnceBetweenLists(t *testing.T) {
	told := &relay.Told{}
	for i, c := range []struct {
		at           int64
		listed, want fleet.Response
	}{
		{700, listed(7, []int64{1, 2}), listed(7, []int64{1, 2})},
		{2, listed(7, []int64{1, 2, 3}, 6), listed(7, []int64{3}, 6)},
		{2, listed(7, []int64{1, 3}, 6), listed(7, nil, 6)},
		{2, listed(7, []int64{1, 2}, 6), listed(7, []int64{2}, 6)},
		{2, listed(8, []int64{1}, 1), listed(8, []int64{1}, 1)},
		{700, listed(7, []int64{1, 2}, 6), listed(7, []int64{1, 2}, 6)},
	} {
		c.want.Partial = i > 0 && i < 4
		runSteps(t, watched, false, told, []step{{700, 3, c.at, c.listed, 0, &c.want}})
	}
}

// Losses that are missed leave one attempt in flight, which delays ends; losses that never end double the polls.
func TestLossesBeginAndEnd(t *testing.T) {
	for _, c := range []struct {
		losses []time.Duration
		at     time.Duration
		want   bool
	}{
		{nil, 0, false},
		{[]time.Duration{0, 0, 0}, 0, false},
		{[]time.Duration{0, 0, 0, 3001 * ms, 3001 * ms, 3001 * ms}, 3001 * ms, false},
		{[]time.Duration{0, 0, 0, 0}, 3000 * ms, true},
		{[]time.Duration{0, 0, 0, 0}, 3001 * ms, false},
		{[]time.Duration{0, 500 * ms, 900 * ms, 1500 * ms}, 4500 * ms, true},
		{[]time.Duration{0, 500 * ms, 900 * ms, 1500 * ms}, 4501 * ms, false},
	} {
		var l relay.Losses
		for _, at := range c.losses {
			l.Record(watchStart.Add(at), 1)
		}
		l.Record(watchStart.Add(c.at), 0)
		assert.Equal(t, l.Persist(watchStart.Add(c.at)), c.want, "%v, at %s", c.losses, c.at)
	}
}

// Whatever an executor responds, its ends reach the owner and it is not flooded with attempts.
func TestAnyResponsesToAPoll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		poll := watched
		poll.Wait = time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * ms
		poll.Incarnation = rapid.SampledFrom([]int64{0, 7}).Draw(t, "incarnation")
		poll.KnownSequence = rapid.Int64Range(0, 4).Draw(t, "known")
		lossy := rapid.Bool().Draw(t, "lossy")
		margin := responseMargin
		if lossy {
			margin = lossyResponseMargin
		}
		// Some executors respond at once, whatever the hold.
		slowest := rapid.SampledFrom([]time.Duration{2 * ms, time.Hour}).Draw(t, "slowest")
		kinds := rapid.SliceOfN(rapid.SampledFrom([]fleet.Response{
			noReply, listed(7, nil), listed(7, nil, 1), listed(7, nil, 3, 4), listed(7, nil, 4, 5), listed(8, nil), listed(8, nil, 1), listed(0, nil), listed(0, nil, 2),
		}), 1, 2).Draw(t, "kinds")
		w, now := relay.NewWatch(watchStart, poll, lossy, &relay.Told{}), watchStart
		for attempts := 1; ; attempts++ {
			// A few attempts may follow each other at once; after that they need the pause, each with its repeats.
			assert.Assert(t, attempts <= 16+4*int(now.Sub(watchStart)/(60*ms)), "%d attempts within %s", attempts, now.Sub(watchStart))
			p, sent := w.Next(now), now
			assert.Assert(t, p.Wait >= 0 && p.Wait <= max(poll.Wait-now.Sub(watchStart), 0) && p.Timeout == p.Wait+margin)
			now = now.Add(time.Duration(rapid.Int64Range(int64(ms), int64(min(p.Timeout, slowest))).Draw(t, "response time")))
			resp := rapid.SampledFrom(kinds).Draw(t, "response")
			result, done, pause := w.Handle(now, sent, resp)
			for _, e := range resp.Ends {
				assert.Assert(t, e.Sequence <= poll.KnownSequence || done && slices.Contains(result.Ends, e), "end %d is dropped", e.Sequence)
			}
			if done {
				return
			}
			assert.Assert(t, pause >= 0)
			now = now.Add(pause)
		}
	})
}

// Guards against a run that the owner hears of late: the one that it was told of the former incarnation of an executor
// is not the one of the same number of the next, whose restart the owner heard of on another way.
func TestRunsToldOfFormerIncarnationAreToldAgain(t *testing.T) {
	told, next := &relay.Told{}, watched
	former := listed(7, []int64{1, 2})
	runSteps(t, watched, false, told, []step{{700, 3, 700, former, 0, &former}})
	next.Incarnation = 8
	news := listed(8, []int64{1, 3}, 6)
	news.Partial = true
	runSteps(t, next, false, told, []step{{700, 3, 2, listed(8, []int64{1, 3}, 6), 0, &news}})
}
