package sched

import (
	"context"
	"sync"
)

// goroutineGroup starts the background goroutines of a term and stops them together.
type goroutineGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newGoroutineGroup(ctx context.Context) *goroutineGroup {
	// The goroutines outlive the context of the term, so that a save in flight can finish during
	// the handover.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &goroutineGroup{ctx: ctx, cancel: cancel}
}

func (g *goroutineGroup) start(run func(context.Context)) {
	g.wg.Go(func() { run(g.ctx) })
}

func (g *goroutineGroup) stop() {
	g.cancel()
	g.wg.Wait()
}
