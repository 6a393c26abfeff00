package main

import (
	"net"
	"sync"
)

// proxy forwards connections to the store.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxyConn
}

type proxyConn struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func (r *rig) startProxy(address, target string) *proxy {
	l, err := net.Listen("tcp", address)
	r.must(err)
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxyConn{client: client, server: server}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go c.forward(client, server)
		go c.forward(server, client)
	}
}

func (c *proxyConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// forward copies one direction. A silent connection swallows all that is sent on it.
func (c *proxyConn) forward(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			break
		}
		if c.isSilent() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			break
		}
	}
	_ = from.Close()
	if !c.isSilent() {
		_ = to.Close()
	}
}

// silence makes all open connections silent for good, without a reset. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.conns)
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	p.conns = nil
	return n
}
