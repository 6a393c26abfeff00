package entry_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// slopeBackends is the number of backend servers of one failure domain today.
const slopeBackends = 17

// countedConn counts the bytes of both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func slopeMember(i int) *wire.Member {
	return &wire.Member{
		Name:           fmt.Sprintf("entry-d%02d-%d", i/3, i%3),
		Address:        fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
		HttpAddress:    fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
		FailureDomain:  fmt.Sprintf("d%02d", i/3),
		Incarnation:    time.Now().UnixMicro(),
		State:          "live",
		ConfigRevision: 7200,
		OwnedEpoch:     9,
	}
}

// slopeEvents are events as a forwarded request leaves them.
func slopeEvents(n int) []*wire.Event {
	var list []*wire.Event
	for i := range n {
		list = append(list, &wire.Event{
			HybridTime: time.Now().UnixMilli() << 16,
			Instance:   "entry-d00-0",
			Sequence:   uint64(100_000 + i),
			Kind:       "attempt_ended",
			Request:    "2f1c2a4e-7b1d-4a51-9c7c-0e3a3cb1d0aa",
			Backend:    "backend-d00-07",
			Detail:     "answered 200",
			DurationUs: 4200,
		})
	}
	return list
}

// beat is the kind of heartbeat that a case sends.
type beat struct {
	name    string
	entries int
	slots   bool
	events  int
}

var beats = []beat{
	{name: "plain", entries: 0},
	{name: "slots", slots: true},
	{name: "slots+events=16", slots: true, events: 16},
	{name: "slots+events=64", slots: true, events: 64},
	{name: "slots+events=256", slots: true, events: 256},
	{name: "introduction=6", entries: 6},
	{name: "introduction=18", entries: 18},
	{name: "introduction=54", entries: 54},
}

func (k beat) request() *wire.Request {
	h := &wire.Heartbeat{Sender: slopeMember(0), HybridTime: time.Now().UnixMilli() << 16, Events: slopeEvents(k.events)}
	if k.slots {
		for i := range slopeBackends {
			h.Demands = append(h.Demands, &wire.SlotDemand{Backend: fmt.Sprintf("backend-d00-%02d", i), Wanted: 3})
		}
	}
	return &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: h}, DeadlineMs: 1000}
}

func (k beat) response() *wire.Response {
	r := &wire.HeartbeatReply{Sender: slopeMember(1), HybridTime: time.Now().UnixMilli() << 16}
	if k.slots {
		for i := range slopeBackends {
			r.Grants = append(r.Grants, &wire.SlotGrant{Backend: fmt.Sprintf("backend-d00-%02d", i), Slots: 2, LeaseMs: 3000})
		}
	}
	for i := range k.entries {
		r.Members = append(r.Members, slopeMember(i))
	}
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: r}}
}

// BenchmarkHeartbeatSlope measures one heartbeat and its reply over a loopback
// connection of package peer: bytes of both directions, and processor time of
// both ends together.
func BenchmarkHeartbeatSlope(b *testing.B) {
	for _, k := range beats {
		b.Run(k.name, func(b *testing.B) { k.run(b) })
	}
}

func (k beat) run(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &peer.Server{Handle: func(context.Context, *wire.Request) *wire.Response { return k.response() }}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	var carried atomic.Int64
	client := &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countedConn{conn, &carried}, err
	}}
	processor := processorTime(b)
	b.ResetTimer()
	for range b.N {
		_, outcome, err := client.Call(ctx, l.Addr().String(), k.request())
		assert.Equal(b, outcome, peer.Answered, "%v", err)
	}
	b.StopTimer()
	b.ReportMetric(float64(carried.Load())/float64(b.N), "B/beat")
	b.ReportMetric(float64((processorTime(b)-processor).Microseconds())/float64(b.N), "cpu-us/beat")
	cancel()
	assert.NilError(b, <-ended)
}

// processorTime returns what the whole process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// keepAliveWindow covers several pings, one each second from both ends.
const keepAliveWindow = 5 * time.Second

// BenchmarkKeepAliveSlope measures connections of package peer that carry no
// calls: bytes of both directions, and processor time of both ends together.
func BenchmarkKeepAliveSlope(b *testing.B) {
	for _, connections := range []int{6, 18, 54} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			for range b.N {
				keepAlive(b, connections)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func keepAlive(b *testing.B, connections int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	plain := beat{}
	server := &peer.Server{Handle: func(context.Context, *wire.Request) *wire.Response { return plain.response() }}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	var carried atomic.Int64
	for range connections {
		// One client for each connection, since a client has one to each address.
		client := &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return countedConn{conn, &carried}, err
		}}
		defer client.Close()
		_, outcome, err := client.Call(ctx, l.Addr().String(), plain.request())
		assert.Equal(b, outcome, peer.Answered, "%v", err)
	}
	processor, before := processorTime(b), carried.Load()
	time.Sleep(keepAliveWindow)
	perSecond := keepAliveWindow.Seconds() * float64(connections)
	b.ReportMetric(float64(carried.Load()-before)/perSecond, "B/connection/s")
	b.ReportMetric(float64((processorTime(b)-processor).Microseconds())/perSecond, "cpu-us/connection/s")
	cancel()
	assert.NilError(b, <-ended)
}
