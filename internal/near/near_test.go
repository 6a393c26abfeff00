package near_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/near"
)

// step returns three tasks of 4 cores that take 2 s, or 5 s elsewhere, with time to spare.
func step() near.Step {
	return near.Step{RunTime: 2 * time.Second, Slowdown: 2.5, Left: time.Minute, Need: 4, Tasks: 3}
}

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		modify func(*near.Step, *near.Rack)
		rack   near.Rack
		tasks  int
		max    time.Duration
		reason near.Reason
	}{
		"a rack that comes free soon":      {nil, near.Rack{Freed: 40}, 3, 3 * time.Second, near.None},
		"a rack that never comes free":     {nil, near.Rack{}, 0, 0, near.NoPlaces},
		"others take more than comes free": {nil, near.Rack{Freed: -3}, 0, 0, near.NoPlaces},
		"room for one in time":             {nil, near.Rack{Freed: 2}, 1, 3 * time.Second, near.TooSlow},
		"a tie between both":               {nil, near.Rack{Freed: 4}, 2, 3 * time.Second, near.TooSlow},
		"a crowd ahead":                    {nil, near.Rack{Freed: 40, Ahead: 400}, 0, 3 * time.Second, near.TooSlow},
		"a crowd ahead leaves room for two": {
			nil, near.Rack{Freed: 40, Ahead: 110}, 2, 3 * time.Second, near.TooSlow,
		},
		"nobody has got a place for long": {nil, near.Rack{Freed: 5, Idle: 2 * near.Window}, 1, 3 * time.Second, near.TooSlow},
		"elsewhere it takes as long":      {func(s *near.Step, _ *near.Rack) { s.Slowdown = 1 }, near.Rack{Freed: 40}, 0, 0, near.TooSlow},
		"nothing is known of the run time": {
			func(s *near.Step, _ *near.Rack) { s.RunTime = 0 }, near.Rack{Freed: 40}, 0, 0, near.TooSlow,
		},
		"part of the wait is over":      {func(s *near.Step, _ *near.Rack) { s.Waited = 2 * time.Second }, near.Rack{Freed: 40}, 3, time.Second, near.None},
		"the wait is over":              {func(s *near.Step, _ *near.Rack) { s.Waited = 3 * time.Second }, near.Rack{Freed: 40}, 0, 0, near.Limit},
		"together, one would not fit":   {func(s *near.Step, _ *near.Rack) { s.Together = true }, near.Rack{Freed: 4}, 0, 3 * time.Second, near.TooSlow},
		"together, all fit":             {func(s *near.Step, _ *near.Rack) { s.Together = true }, near.Rack{Freed: 40}, 3, 3 * time.Second, near.None},
		"others are delayed as well":    {func(s *near.Step, _ *near.Rack) { s.Harm = 0.5 }, near.Rack{Freed: 4}, 3, 4500 * time.Millisecond, near.None},
		"the harm to others is limited": {func(s *near.Step, _ *near.Rack) { s.Harm = 50 }, near.Rack{Freed: 40}, 3, 6 * time.Second, near.None},
		"in time elsewhere, hardly after a wait": {
			func(s *near.Step, _ *near.Rack) { s.Left = 5 * time.Second }, near.Rack{Freed: 8}, 2, 3 * time.Second, near.Objective,
		},
		"late elsewhere, in time nearby": {func(s *near.Step, _ *near.Rack) { s.Left = 4 * time.Second }, near.Rack{Freed: 8}, 3, 3 * time.Second, near.None},
		"late in any case":               {func(s *near.Step, _ *near.Rack) { s.Left = -time.Second }, near.Rack{Freed: 8}, 3, 3 * time.Second, near.None},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := step()
			if c.modify != nil {
				c.modify(&s, &c.rack)
			}
			assert.Equal(t, near.Decide(s, c.rack), near.Decision{Tasks: c.tasks, Max: c.max, Reason: c.reason})
		})
	}
}

// Guards against settings and estimates that overflow a duration, and waits without an end.
func TestExtremesAreBounded(t *testing.T) {
	s := step()
	s.Slowdown, s.RunTime, s.Harm = 1e9, 1000*time.Hour, 1e18
	d := near.Decide(s, near.Rack{Freed: 1e-12, Ahead: 1e12})
	assert.Equal(t, d.Tasks, 0)
	d = near.Decide(s, near.Rack{Freed: 40})
	assert.Assert(t, d.Tasks == 3 && d.Max > 0, "%+v", d)
	s.Waited = d.Max
	assert.Equal(t, near.Decide(s, near.Rack{Freed: 40}).Tasks, 0)
}

// Guards against waits that follow an estimate instead of what was observed: with an estimate of a tenth of the run time
// no step would wait, with one of ten times too long.
func TestObservedRunTimesReplaceWrongEstimates(t *testing.T) {
	var times near.RunTimes
	assert.Equal(t, times.Ratio("unknown", 10), 1.0)
	for range 20 {
		times.Observe("short", 0.1)
		times.Observe("long", 10)
	}
	assert.Assert(t, times.Ratio("short", 1) < 0.16, "%g", times.Ratio("short", 1))
	assert.Assert(t, times.Ratio("long", 1) > 6, "%g", times.Ratio("long", 1))
	other := times.Ratio("other", 1)
	assert.Assert(t, other > 0.3 && other < 3, "%g", other)
}

// Guards against waits that follow the few runs that take seven times as long, and against those of a step judged by its
// average task although it ends with its longest.
func TestRatioIsThatOfTheLongestUsualTask(t *testing.T) {
	var times near.RunTimes
	for i := range 400 {
		ratio := 0.5 + float64(i%10)/9
		if i%33 == 0 {
			ratio *= 7
		}
		times.Observe("image", ratio)
	}
	one, ten := times.Ratio("image", 1), times.Ratio("image", 10)
	assert.Assert(t, one > 0.8 && one < 1.3, "%g", one)
	assert.Assert(t, ten > 1.3 && ten < 3, "%g", ten)
}

// Guards against memory that grows with the names in callers' jobs.
func TestImagesAreBounded(t *testing.T) {
	var times near.RunTimes
	for i := range 5000 {
		times.Observe(time.Duration(i).String(), 2)
	}
	ratio := times.Ratio("new", 1)
	assert.Assert(t, ratio > 1.9 && ratio < 2.1, "%g", ratio)
}

func TestRate(t *testing.T) {
	var r near.Rate
	begin := time.Unix(1_700_000_000, 0)
	now := begin
	assert.Equal(t, r.PerSecond(now, begin), 0.0)
	for i := range 300 {
		now = now.Add(100 * time.Millisecond)
		r.Add(now, 0.5)
		if rate := r.PerSecond(now, begin); i > 20 {
			assert.Assert(t, rate > 4.7 && rate < 5.6, "%g after %s", rate, now.Sub(begin))
		}
	}
	assert.Assert(t, r.PerSecond(now.Add(5*near.Window), begin) < 0.05)
	assert.Equal(t, r.PerSecond(now.Add(-time.Second), begin) > 4, true, "the clock may stand still")
}

// A crowd of one team's steps gives way to the others by weight, and to higher classes; its own order stays.
func TestCrowdSharesRack(t *testing.T) {
	claims := []near.Claim{
		{Class: 0, Team: "crowd", Weight: 1, CPU: 50},
		{Class: 0, Team: "crowd", Weight: 1, CPU: 50},
		{Class: 0, Team: "small", Weight: 1, CPU: 10},
		{Class: 2, Team: "small", Weight: 1, CPU: 10},
		{Class: 0, Team: "heavy", Weight: 3, CPU: 40},
	}
	for i, want := range []float64{10 + 40, 50 + 10 + 40, 10 + 3*10, 50 + 50 + 10 + 40, 40.0/3 + 10} {
		got := near.Ahead(claims, i)
		assert.Assert(t, math.Abs(got-want) < 1e-9, "claim %d: %g, not %g", i, got, want)
	}
	assert.Equal(t, near.Ahead([]near.Claim{{CPU: 8}, {CPU: 8}, {CPU: 8}}, 1), 8.0, "without teams the order decides")
}
