package sched

import (
	"context"
	"sync"
)

// duties are the goroutines of a term.
type duties struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newDuties(ctx context.Context) *duties {
	// The save in progress may end after the term's own context.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &duties{ctx: ctx, cancel: cancel}
}

func (d *duties) start(run func(context.Context)) {
	d.wg.Go(func() { run(d.ctx) })
}

func (d *duties) stop() {
	d.cancel()
	d.wg.Wait()
}
