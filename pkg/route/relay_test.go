package route_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// relay forwards TCP connections; after a freeze the open ones forward nothing any more.
type relay struct {
	to             string
	opened, frozen atomic.Int64
	done           <-chan struct{}
}

func (y *relay) serve(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", y.to)
		if err != nil {
			return
		}
		n := y.opened.Add(1)
		pump := func(w io.WriteCloser, r io.Reader) {
			buf := make([]byte, 4096)
			for k, err := r.Read(buf); err == nil; k, err = r.Read(buf) {
				if n <= y.frozen.Load() {
					<-y.done // writes of the other side fill the buffers and block
				}
				_, _ = w.Write(buf[:k])
			}
			_ = w.Close()
		}
		go pump(far, near)
		go pump(near, far)
	}
}

// Guards against a write that blocks for ever on a real connection that went silent, with
// a body larger than the kernel's and HTTP/2's buffers.
func TestSilentTCPConnectionIsReplaced(t *testing.T) {
	f := newFake(t, "a")
	y := &relay{to: f.listen(), done: t.Context().Done()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go y.serve(l)
	var r route.Router
	r.SetPeerCount(1)
	r.UpdateBackends([]route.Backend{{Name: "a", Address: l.Addr().String(), Slots: 8}})
	for attempts := 1; attempts <= 2; attempts++ {
		req := request("q")
		req.Body, req.Deadline = make([]byte, 1<<20), time.Now().Add(time.Minute)
		slot, _ := r.Acquire("r")
		ans := r.Do(t.Context(), slot, req)
		assert.Equal(t, ans.Outcome, route.Answered, ans.Reason)
		assert.Equal(t, ans.Attempts, attempts)
		y.frozen.Store(y.opened.Load())
	}
	assert.Equal(t, f.ran("q"), 2)
	for r.Stats().SilentConnections != 1 { // counted after the requests have ended
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, r.Drain(t.Context()))
}
