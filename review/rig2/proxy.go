package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// cutPoll is how often a connection that is held up looks whether the cut has ended.
	cutPoll = 20 * time.Millisecond

	// openBacklog is the usual number of connections that wait to be accepted.
	openBacklog = 128
)

// proxy forwards TCP connections. During a cut it holds the bytes of open connections up, and lets new ones hang, as
// a network does that drops all packets.
type proxy struct {
	listener *net.TCPListener
	target   string

	mu     sync.Mutex
	isDown bool
	isCut  bool
	healed chan struct{}
	conns  map[*proxyConn]bool
	// fillers are connections of the proxy's own that fill the queue of new ones during a cut.
	fillers []net.Conn
}

type proxyConn struct {
	client, server net.Conn
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l.(*net.TCPListener), target: target, healed: make(chan struct{}), conns: make(map[*proxyConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	p.mu.Lock()
	l := p.listener
	p.mu.Unlock()
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		p.waitHealed()
		go p.serve(client)
	}
}

// waitHealed waits until there is no cut.
func (p *proxy) waitHealed() {
	for {
		p.mu.Lock()
		isCut, healed := p.isCut, p.healed
		p.mu.Unlock()
		if !isCut {
			return
		}
		<-healed
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	down := p.isDown
	p.mu.Unlock()
	if down {
		abort(client)
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(client, server) })
	wg.Go(func() { p.forward(server, client) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies one direction until either side closes. Bytes that are held up by a cut are lost if their sender has
// closed the connection before it ends.
func (p *proxy) forward(from, to net.Conn) {
	defer func() {
		p.waitHealed()
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 64<<10)
	var held []byte
	for {
		_ = from.SetReadDeadline(time.Now().Add(cutPoll))
		n, err := from.Read(buf)
		held = append(held, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		p.mu.Lock()
		isCut := p.isCut
		p.mu.Unlock()
		if !isCut && len(held) > 0 {
			if _, err := to.Write(held); err != nil {
				return
			}
			held = nil
		}
	}
}

// cut begins a cut. The queue of new connections is made short and filled, so that the system drops the opening
// packets of others.
func (p *proxy) cut() error {
	p.mu.Lock()
	p.isCut = true
	p.mu.Unlock()
	if err := p.setBacklog(0); err != nil {
		return err
	}
	for range 3 {
		c, err := net.DialTimeout("tcp", p.listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return nil // the queue is full
		}
		p.fillers = append(p.fillers, c)
	}
	return nil
}

// heal ends a cut.
func (p *proxy) heal() error {
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	err := p.setBacklog(openBacklog)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	close(p.healed)
	p.healed = make(chan struct{})
	return err
}

func (p *proxy) setBacklog(n int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// crash ends the connections with a reset and refuses new ones, as after a crash of the process behind the proxy.
func (p *proxy) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDown = true
	_ = p.listener.Close()
	for c := range p.conns {
		abort(c.client)
		abort(c.server)
	}
}

// restart accepts connections again.
func (p *proxy) restart() error {
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.isDown = l.(*net.TCPListener), false
	p.mu.Unlock()
	go p.accept()
	return nil
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
