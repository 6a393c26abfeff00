package fleet

import "context"

// Caller makes calls to executors. Each function waits for the response until the deadline of ctx.
type Caller struct {
	Start    func(ctx context.Context, e Executor, cmd Start) Response
	Stop     func(ctx context.Context, e Executor, cmd Stop) Response
	Throttle func(ctx context.Context, e Executor, cmd Throttle) Response
	Poll     func(ctx context.Context, e Executor, poll Poll) Response
}
