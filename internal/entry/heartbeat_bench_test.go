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

// backendCount is the current number of backend servers of one failure domain.
const backendCount = 17

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newMember(i int) *wire.Member {
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

// newEvents returns events like those of forwarded requests.
func newEvents(n int) []*wire.Event {
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

// heartbeatCase describes the content of a heartbeat and its reply.
type heartbeatCase struct {
	name    string
	members int
	slots   bool
	events  int
}

var heartbeatCases = []heartbeatCase{
	{name: "plain", members: 0},
	{name: "slots", slots: true},
	{name: "slots+events=16", slots: true, events: 16},
	{name: "slots+events=64", slots: true, events: 64},
	{name: "slots+events=256", slots: true, events: 256},
	{name: "introduction=6", members: 6},
	{name: "introduction=18", members: 18},
	{name: "introduction=54", members: 54},
}

func (c heartbeatCase) request() *wire.Request {
	h := &wire.Heartbeat{Sender: newMember(0), HybridTime: time.Now().UnixMilli() << 16, Events: newEvents(c.events)}
	if c.slots {
		for i := range backendCount {
			h.Demands = append(h.Demands, &wire.SlotDemand{Backend: fmt.Sprintf("backend-d00-%02d", i), Wanted: 3})
		}
	}
	return &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: h}, DeadlineMs: 1000}
}

func (c heartbeatCase) response() *wire.Response {
	r := &wire.HeartbeatReply{Sender: newMember(1), HybridTime: time.Now().UnixMilli() << 16}
	if c.slots {
		for i := range backendCount {
			r.Grants = append(r.Grants, &wire.SlotGrant{Backend: fmt.Sprintf("backend-d00-%02d", i), Slots: 2, LeaseMs: 3000})
		}
	}
	for i := range c.members {
		r.Members = append(r.Members, newMember(i))
	}
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: r}}
}

// BenchmarkHeartbeatSlope measures one heartbeat and its reply over a loopback connection of package
// peer: the bytes in both directions and the CPU time of both ends together.
func BenchmarkHeartbeatSlope(b *testing.B) {
	for _, c := range heartbeatCases {
		b.Run(c.name, func(b *testing.B) { c.run(b) })
	}
}

func (c heartbeatCase) run(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &peer.Server{Handle: func(context.Context, *wire.Request) *wire.Response { return c.response() }}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(ctx, l) }()
	var transferred atomic.Int64
	client := &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, &transferred}, err
	}}
	cpuBefore := cpuTime(b)
	b.ResetTimer()
	for range b.N {
		_, outcome, err := client.Call(ctx, l.Addr().String(), c.request())
		assert.Equal(b, outcome, peer.Answered, "%v", err)
	}
	b.StopTimer()
	b.ReportMetric(float64(transferred.Load())/float64(b.N), "B/beat")
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(b.N), "cpu-us/beat")
	cancel()
	assert.NilError(b, <-serveResult)
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measurementTime covers several keep-alive pings, which both ends send once a second.
const measurementTime = 5 * time.Second

// BenchmarkKeepAliveSlope measures connections of package peer without calls: the bytes in both
// directions and the CPU time of both ends together.
func BenchmarkKeepAliveSlope(b *testing.B) {
	for _, connections := range []int{6, 18, 54} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			for range b.N {
				measureIdleConnections(b, connections)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureIdleConnections(b *testing.B, connections int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	heartbeat := heartbeatCase{}
	server := &peer.Server{Handle: func(context.Context, *wire.Request) *wire.Response { return heartbeat.response() }}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(ctx, l) }()
	var transferred atomic.Int64
	for range connections {
		// Each connection needs its own client, since a client keeps one connection to each address.
		client := &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return countingConn{conn, &transferred}, err
		}}
		defer client.Close()
		_, outcome, err := client.Call(ctx, l.Addr().String(), heartbeat.request())
		assert.Equal(b, outcome, peer.Answered, "%v", err)
	}
	cpuBefore, bytesBefore := cpuTime(b), transferred.Load()
	time.Sleep(measurementTime)
	perSecond := measurementTime.Seconds() * float64(connections)
	b.ReportMetric(float64(transferred.Load()-bytesBefore)/perSecond, "B/connection/s")
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/perSecond, "cpu-us/connection/s")
	cancel()
	assert.NilError(b, <-serveResult)
}
