package pace

import "time"

const (
	// window is the time over which the lag is measured. A loop that keeps up handles some event without
	// delay within it, even while events arrive in bursts.
	window = 100 * time.Millisecond

	// minEvents is the number of events in a window from which the loop can be behind. Fewer ones that are
	// late are due to a short stall of the process: an event takes well below a millisecond.
	minEvents = 10

	// maxLag is the lag from which a loop counts as behind. One scheduling pass or one round of queued
	// events takes up to 20 ms.
	maxLag = 20 * time.Millisecond

	// growth is the factor by which the stretch grows with each window in which the loop is behind, and
	// decay the factor by which it shrinks with each window in which the lag is below maxLag /
	// calmFraction. Between the two it stays as it is. It shrinks more slowly than it grows, so that it
	// settles near the value at which the loop keeps up.
	growth       = 1.5
	decay        = 0.9
	calmFraction = 4

	// maxWait is the wait for the processor from which a process counts as late, and calmWait the one below which
	// it does not. A tenth of the goroutines of a busy process that keeps up wait for 10 ms.
	maxWait  = 20 * time.Millisecond
	calmWait = 12 * time.Millisecond

	// waitsForEvent is the number of waits for the processor, each of which a tenth of the goroutines exceed, that
	// make an event as late as a standing lag does.
	waitsForEvent = 2

	// slowDecay is the factor by which the stretch shrinks with each window without a lag in which the wait is
	// neither long nor short, so that this does not hold it for ever.
	slowDecay = 0.99

	// maxStretch is the maximum stretch: an interval of 15 ms becomes one of 120 ms.
	maxStretch = 8

	// overrunLag is the lag from which the loop is overrun, if its intervals are stretched as far as they
	// can be. About ten events follow one another from the arrival of a short job to its end, so that a
	// lag of 100 ms makes most of them late. The loop is no longer overrun after calmWindows windows with a
	// lag below maxLag.
	overrunLag  = 50 * time.Millisecond
	calmWindows = 5

	// peakMemory is how long the largest delay of an event counts in Allowance, maxAllowance the maximum. A
	// process that was suspended must not wait for as long for executors that are gone.
	peakMemory   = time.Second
	maxAllowance = time.Second
)

// Gauge measures the lag of one loop. The zero value is ready to use; it is not safe for concurrent use.
type Gauge struct {
	stretch float64
	overrun bool
	// calm is the number of windows in a row with a lag below maxLag.
	calm  int
	began time.Time
	// least is the smallest delay of an event in the current window, busy the time spent on events, and
	// events the number of events.
	least, busy time.Duration
	events      int
	// wait is the last wait of goroutines for the processor, as of waitedAt.
	wait     time.Duration
	waitedAt time.Time

	// peak is the largest delay in the current peakMemory since peakSince, formerPeak that in the one
	// before.
	peak, formerPeak time.Duration
	peakSince        time.Time

	last Sample
}

// Sample describes a window.
type Sample struct {
	// Lag is the smallest delay of an event, which all other events of the window waited as well, or half of the
	// wait of goroutines for the processor, if that is longer.
	Lag time.Duration
	// Busy is the share of the time that was spent on events.
	Busy float64
	// Events is the number of events.
	Events int
}

// Delayed records that an event was due at the given time and is handled now.
func (g *Gauge) Delayed(now, due time.Time) {
	g.roll(now)
	delay := max(now.Sub(due), 0)
	if g.events == 0 || delay < g.least {
		g.least = delay
	}
	g.events++
	g.peak = max(g.peak, delay)
}

// Waited records how long a tenth of the process's goroutines waited for the processor over the last window, or
// longer. Each call passes several goroutines on its way to the loop and back.
func (g *Gauge) Waited(now time.Time, wait time.Duration) {
	g.roll(now)
	g.wait, g.waitedAt = wait, now
}

// Worked records time that was spent on events or decisions.
func (g *Gauge) Worked(d time.Duration) { g.busy += d }

// roll ends the current window if it is over.
func (g *Gauge) roll(now time.Time) {
	if now.Sub(g.peakSince) >= peakMemory {
		g.formerPeak, g.peak, g.peakSince = g.peak, 0, now
	}
	length := now.Sub(g.began)
	if length < window {
		return
	}
	if !g.began.IsZero() {
		wait := g.wait
		if now.Sub(g.waitedAt) >= 2*window {
			wait = 0
		}
		g.last = Sample{Lag: max(g.least, wait/waitsForEvent), Busy: min(g.busy.Seconds()/length.Seconds(), 1), Events: g.events}
		g.updateOverrun()
		switch {
		case g.events < minEvents:
			g.stretch = max(g.Stretch()*decay, 1)
		case g.least > maxLag || wait > maxWait:
			g.stretch = min(g.Stretch()*growth, maxStretch)
		case g.least < maxLag/calmFraction && wait < calmWait:
			g.stretch = max(g.Stretch()*decay, 1)
		case g.least < maxLag/calmFraction:
			g.stretch = max(g.Stretch()*slowDecay, 1)
		}
	}
	g.began, g.least, g.busy, g.events = now, 0, 0, 0
}

// updateOverrun applies the lag of the last window to the decision whether the loop is overrun.
func (g *Gauge) updateOverrun() {
	enough := g.last.Events >= minEvents
	if enough && g.last.Lag >= maxLag {
		g.calm = 0
	} else {
		g.calm++
	}
	switch {
	case enough && g.last.Lag > overrunLag && g.stretch >= maxStretch:
		g.overrun = true
	case g.calm >= calmWindows:
		g.overrun = false
	}
}

// Overrun reports whether rarer work alone does not suffice for the loop to keep up.
func (g *Gauge) Overrun() bool { return g.overrun }

// Last describes the last window with events.
func (g *Gauge) Last() Sample { return g.last }

// Stretch returns the factor by which the intervals of work that can wait are to be multiplied: 1 while
// the loop keeps up, maxStretch at most.
func (g *Gauge) Stretch() float64 { return max(g.stretch, 1) }

// Interval returns an interval multiplied by the stretch, but at most limit.
func (g *Gauge) Interval(d, limit time.Duration) time.Duration {
	return max(d, min(time.Duration(float64(d)*g.Stretch()), limit))
}

// Allowance returns how much longer than usual a response can seem to take because this loop is late:
// the largest delay of an event within one to two seconds, up to maxAllowance.
func (g *Gauge) Allowance() time.Duration { return min(max(g.peak, g.formerPeak), maxAllowance) }
