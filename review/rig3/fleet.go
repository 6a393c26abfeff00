package main

import (
	"bytes"
	"encoding/json"
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

// instanceCount is the number of instances of daisyrack.
const instanceCount = 3

// fleet is the whole deployment: the store, executors and instances.
type fleet struct {
	dir       string
	store     *store
	storeAddr string
	executors []*executor
	record    *record
	fronts    []string
	readies   []string
	instances []*exec.Cmd
	client    *http.Client
}

// record is the file record.txt of a case.
type record struct {
	began time.Time
	mu    sync.Mutex
	w     io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// startStore serves the store on a free port.
func (f *fleet) startStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store, f.storeAddr = newStore(), l.Addr().String()
	go func() { _ = http.Serve(l, f.store.handler()) }()
	return nil
}

// addExecutors starts executors of a service.
func (f *fleet) addExecutors(service string, n int, observe func(e *executor, task string, run int64, how string)) error {
	for i := range n {
		e := &executor{id: fmt.Sprintf("i-%s-%02d", service, i), service: service, cpu: 16000, mem: 65536, store: f.store, observe: observe}
		if err := e.start(); err != nil {
			return err
		}
		f.executors = append(f.executors, e)
	}
	return nil
}

// startInstances starts the instances, each on a loopback address of its own, and waits until all are ready.
func (f *fleet) startInstances() error {
	net2, net3 := 20+rand.IntN(200), 1+rand.IntN(250)
	port := 20000 + rand.IntN(20000)
	for i := range instanceCount {
		ip := fmt.Sprintf("127.%d.%d.%d", net2, net3, i+2)
		f.fronts = append(f.fronts, fmt.Sprintf("%s:%d", ip, port))
		f.readies = append(f.readies, fmt.Sprintf("%s:%d", ip, port+1))
		settings := []string{
			fmt.Sprintf("node=edge-z%d-1", i+1), "role=instance", "machine_class=edge", "serves=edge,control",
			"ip=" + ip, fmt.Sprintf("zone=z%d", i+1), "region=r1",
			fmt.Sprintf("listen.front=%s:%d", ip, port), fmt.Sprintf("listen.ready=%s:%d", ip, port+1),
			fmt.Sprintf("listen.control=%s:%d", ip, port+2), fmt.Sprintf("port_range=%d,%d", port+3, port+18),
			"bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
			"limits.link_mbps=1000.0", "limits.disk_mb=0", "heartbeat_ms=1500", "orders=rpc", "platform.address=" + f.storeAddr,
			"platform.form=table", "bounds.contact_ms=3000", "bounds.grace_s=6", "bounds.max_hold_ms=10000",
		}
		path := filepath.Join(f.dir, fmt.Sprintf("local-%d.conf", i))
		if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("instance-%d.log", i)))
		if err != nil {
			return err
		}
		cmd := exec.Command("target/daisyrack", "instance")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYRACK_SETTINGS=" + path}
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			return err
		}
		f.instances = append(f.instances, cmd)
		f.record.printf("instance %d started at %s", i, f.fronts[i])
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		ready := 0
		for _, a := range f.readies {
			if res, err := f.client.Get("http://" + a + "/v1/readiness"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == instanceCount {
			return nil
		}
	}
	return fmt.Errorf("instances are not ready")
}

// stop ends the instances.
func (f *fleet) stop() {
	for _, c := range f.instances {
		_ = c.Process.Signal(syscall.SIGKILL)
		_, _ = c.Process.Wait()
	}
}

// configure writes the operator's configuration.
func (f *fleet) configure(version int, routes []map[string]any, services ...string) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "admission_check": false, "max_conns": 64})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list, "limits": map[string]any{"max_body_bytes": 262144},
	})
	f.store.put(row{Table: "op", Key: "config", Value: value})
}

// call makes a request of a client at an instance; status 0 means that no response arrived.
func (f *fleet) call(front int, method, host, path string, body any) (int, string) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+f.fronts[front]+path, bytes.NewReader(b))
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	res, err := f.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

// submit hands a job in, at up to five instances in turn, and reports whether it was accepted.
func (f *fleet) submit(host, path string, body any) bool {
	for attempt := range 5 {
		front := rand.IntN(instanceCount)
		status, text := f.call(front, http.MethodPost, host, path, body)
		f.record.printf("POST %s at instance %d, attempt %d: %d %s", path, front, attempt+1, status, strings.TrimSpace(text))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
