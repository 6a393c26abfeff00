package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/daisyrack"

	frontPort, readyPort, peerPort = "8161", "8167", "7720"

	deadline = 3 * time.Second

	// idleConnTime is how long the stand-ins keep a connection without requests open, as usual servers do.
	idleConnTime = 5 * time.Second
)

// rack is a small deployment: instances as processes, and stand-ins of the platform.
type rack struct {
	rec       *record
	setup     setup
	dir       string
	subnet    string
	store     *store
	policy    *policy
	executors []*executor
	// executorProxies stand before the executors, storeProxies between each instance and the store.
	executorProxies, storeProxies []*proxy
	instances                     []*instance
	servers                       []*http.Server
	stop                          chan struct{}
}

// instance is one process of daisyrack.
type instance struct {
	name, zone, ip, settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	// gone is closed when the process has ended.
	gone chan struct{}
}

func zoneOf(i int) string { return []string{"a", "b", "c"}[i%3] }

// setup is the size of a rack and the bounds that its settings name.
type setup struct {
	// zones are those of the instances; executors is the number of executors, which stand in three zones in turn.
	zones     []string
	executors int
	// tickets is set if a start has to carry a ticket.
	tickets bool
	// contactMs and applyMs are contact_ms and config_apply_ms of the site.
	contactMs, applyMs int
}

// smallSetup returns a setup with an instance in each zone and the bounds of the small sites.
func smallSetup(executors int) setup {
	return setup{zones: []string{"a", "b", "c"}, executors: executors, contactMs: 3000, applyMs: 2000}
}

// newRack starts the stand-ins and the instances.
func newRack(rec *record, s setup) (*rack, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	r := &rack{rec: rec, setup: s, dir: dir, store: newStore(), stop: make(chan struct{})}
	r.policy = &policy{rec: rec, issued: make(map[string]issue), allows: func(string, string) bool { return true }}
	if err := r.reserveSubnet(); err != nil {
		return r, err
	}
	if err := r.serve(r.ip(2)+":8169", r.store); err != nil {
		return r, err
	}
	if err := r.serve(r.ip(3)+":8169", r.policy); err != nil {
		return r, err
	}
	for i := range s.executors {
		if err := r.addExecutor(i, s.tickets); err != nil {
			return r, err
		}
	}
	for i, zone := range s.zones {
		if err := r.addInstance(i, len(s.zones), zone); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (r *rack) ip(n int) string { return fmt.Sprintf("%s.%d", r.subnet, n) }

// reserveSubnet finds loopback addresses that nothing else uses.
func (r *rack) reserveSubnet() error {
	for range 100 {
		r.subnet = fmt.Sprintf("127.%d.%d", 60+rand.IntN(60), rand.IntN(250))
		l, err := net.Listen("tcp", r.ip(1)+":8099")
		if err == nil {
			r.servers = append(r.servers, &http.Server{})
			go func() {
				<-r.stop
				_ = l.Close()
			}()
			return nil
		}
	}
	return errors.New("no loopback addresses are free")
}

func (r *rack) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, IdleTimeout: idleConnTime}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

func (r *rack) addExecutor(i int, tickets bool) error {
	x := &executor{
		rec: r.rec, store: r.store, policy: r.policy, id: fmt.Sprintf("i-%02d", i), zone: zoneOf(i),
		rack: fmt.Sprintf("r%d-1", i%3), kind: "a", address: r.ip(100+i) + ":8080", tickets: tickets,
	}
	x.init()
	behind := r.ip(100+i) + ":8081"
	if err := r.serve(behind, x); err != nil {
		return err
	}
	p, err := startProxy(x.address, behind)
	if err != nil {
		return err
	}
	x.proxy = p
	r.executors, r.executorProxies = append(r.executors, x), append(r.executorProxies, p)
	go x.beat(r.stop)
	go x.work(r.stop)
	return nil
}

func (r *rack) addInstance(i, total int, zone string) error {
	n := &instance{name: fmt.Sprintf("edge-%d", i), zone: zone, ip: r.ip(10 + i)}
	p, err := startProxy(n.ip+":8169", r.ip(2)+":8169")
	if err != nil {
		return err
	}
	r.storeProxies = append(r.storeProxies, p)
	var seeds []string
	for k := range min(3, total) {
		seeds = append(seeds, r.ip(10+k)+":8166")
	}
	n.settings = filepath.Join(r.dir, n.name+".conf")
	lines := []string{
		"node=" + n.name, "role=instance", "machine_class=edge", "serves=edge,control", "zone=" + n.zone, "region=home",
		"zones.a=home", "zones.b=home", "zones.c=home", "ip=" + n.ip, "listen.front=" + n.ip + ":" + frontPort,
		"listen.ready=" + n.ip + ":" + readyPort, "listen.control=" + n.ip + ":8166", "port_range=" + peerPort + ",7735",
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
		"limits.max_fds=4100", "limits.link_mbps=1000.0", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		fmt.Sprintf("bounds.contact_ms=%d", r.setup.contactMs), fmt.Sprintf("bounds.config_apply_ms=%d", r.setup.applyMs), "bounds.grace_s=6", "bounds.max_hold_ms=10000", "orders=rpc",
		"advice=" + r.ip(3) + ":8169", "platform.address=" + n.ip + ":8169", "platform.writes_per_s=600", "platform.reads_per_s=2000",
		"platform.tx_ms=8.0", "platform.part_writes_s=150", "platform.row_bytes=65536", "platform.history_s=20",
	}
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	r.instances = append(r.instances, n)
	return r.startInstance(n)
}

// startInstance starts the process of an instance.
func (r *rack) startInstance(n *instance) error {
	out, err := os.OpenFile(filepath.Join(r.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "instance")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYRACK_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd, n.gone = cmd, make(chan struct{})
	gone := n.gone
	n.mu.Unlock()
	r.rec.log("instance %s started, zone %s", n.name, n.zone)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		r.rec.log("process of %s ended: %s", n.name, cmd.ProcessState)
		close(gone)
	}()
	return nil
}

// close ends all processes and stand-ins.
func (r *rack) close() {
	if r == nil {
		return
	}
	for _, n := range r.instances {
		n.mu.Lock()
		cmd, gone := n.cmd, n.gone
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-gone
		}
	}
	close(r.stop)
	for _, s := range r.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs of the instances:", r.dir)
	}
}

// route is a queue of the configuration.
type route struct {
	name, prefix string
	priority     int
	advice       bool
}

// configure writes a configuration as the operator.
func (r *rack) configure(version int, routes ...route) {
	var list []map[string]any
	var names []string
	for _, q := range routes {
		entry := map[string]any{
			"name": q.name, "host": "h.example", "path_prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 250,
			"priority": q.priority, "service": "pool", "max_attempts": 3, "stretch": 1.5,
		}
		if q.advice {
			entry["advice"] = map[string]any{"decide_ms": 20.0, "interval_ms": 0.3, "valid_ms": ticketTime.Milliseconds()}
		}
		list = append(list, entry)
		names = append(names, q.name+" "+q.prefix)
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{
			"name": "pool", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	r.store.put("op", "config", body)
	r.rec.log("operator: configuration %d acknowledged, routes: %s", version, strings.Join(names, ", "))
}

// call sends one request of a client to an instance. Status 0 means that there was no answer.
func (r *rack) call(n *instance, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":"+frontPort+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(text))
}

// ask is call with a line in the record.
func (r *rack) ask(n *instance, method, path, body string) (int, string) {
	status, text := r.call(n, method, path, body)
	r.rec.log("client: %s %s at %s: %d %s", method, path, n.name, status, text)
	return status, text
}

// submit hands a job in until it is accepted.
func (r *rack) submit(path, body string) bool {
	for i := range 5 {
		if status, _ := r.ask(r.instances[i%len(r.instances)], http.MethodPost, path, body); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// waitReady waits until all instances are ready.
func (r *rack) waitReady() error {
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.instances {
			res, err := http.Get("http://" + n.ip + ":" + readyPort + "/v1/readiness")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.instances) {
			r.rec.log("all instances are ready")
			return nil
		}
	}
	return errors.New("the instances are not ready")
}

// jobID returns the n-th ID of a job.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n) }
