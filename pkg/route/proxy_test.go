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

// tcpProxy forwards TCP connections. It numbers them from 1; those up to the number frozen forward
// nothing any more.
type tcpProxy struct {
	target         string
	opened, frozen atomic.Int64
	done           <-chan struct{}
}

func (p *tcpProxy) serve(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		n := p.opened.Add(1)
		pump := func(w io.WriteCloser, r io.Reader) {
			buf := make([]byte, 4096)
			for k, err := r.Read(buf); err == nil; k, err = r.Read(buf) {
				if n <= p.frozen.Load() {
					<-p.done // writes of the other side fill the buffers and then block
				}
				_, _ = w.Write(buf[:k])
			}
			_ = w.Close()
		}
		go pump(server, client)
		go pump(client, server)
	}
}

// A write must not block forever on a real connection that became unresponsive, even if the body is
// larger than the buffers of the kernel and of HTTP/2.
func TestUnresponsiveTCPConnectionIsReplaced(t *testing.T) {
	f := newFakeBackend(t, "a")
	proxy := &tcpProxy{target: f.listen(), done: t.Context().Done()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go proxy.serve(l)
	var r route.Router
	r.SetPeerCount(1)
	r.UpdateBackends([]route.Backend{{Name: "a", Address: l.Addr().String(), Slots: 8}})
	for attempts := 1; attempts <= 2; attempts++ {
		req := request("q")
		req.Body, req.Deadline = make([]byte, 1<<20), time.Now().Add(time.Minute)
		slot, _ := r.Acquire("r")
		resp := r.Do(t.Context(), slot, req)
		assert.Equal(t, resp.Outcome, route.Answered, resp.Reason)
		assert.Equal(t, resp.Attempts, attempts)
		proxy.frozen.Store(proxy.opened.Load())
	}
	assert.Equal(t, f.runCount("q"), 2)
	for r.Stats().SilentConnections != 1 { // counted after the requests have ended
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, r.Drain(t.Context()))
}
