package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
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
	// Exit states of a case.
	held, broken, unable = 0, 1, 2

	ingressPort, readyPort, controlPort, peerPort = "8161", "8167", "8166", "7720"

	instanceCount = 3
	executorCount = 4
	graceSeconds  = 6
	subnets       = 200

	// storeIdleTime is how long the store keeps an idle connection open, as HTTP servers commonly do.
	storeIdleTime = 5 * time.Second
)

// rig is one run of a case.
type rig struct {
	dir, program string
	trouble      bool
	subnet       int
	marker       net.Listener
	store        *store
	storeProxy   *proxy
	executors    []*executor
	instances    []*instance
	begin        time.Time

	mu     sync.Mutex
	out    *os.File
	begun  []runSeen
	endeds []runSeen
	// noted holds when the ends of runs were taken note of.
	noted map[string]time.Time
	// varied is set if tasks of a step take different times.
	varied bool
	// quiet is the job whose runs are not recorded one by one.
	quiet string
}

func (r *rig) isQuiet(task string) bool { return r.quiet != "" && strings.HasPrefix(task, r.quiet) }

// running returns the number of runs of a job on all executors.
func (r *rig) running(job string) int {
	n := 0
	for _, x := range r.executors {
		x.mu.Lock()
		for _, t := range x.runs {
			if strings.HasPrefix(t.task, job+".") {
				n++
			}
		}
		x.mu.Unlock()
	}
	return n
}

// ends counts how the runs of a job have ended.
func (r *rig) ends(job string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int)
	for _, s := range r.endeds {
		if strings.HasPrefix(s.task, job+".") {
			out[s.kind]++
		}
	}
	return out
}

// runSeen is a run as an executor saw it begin or end.
type runSeen struct {
	executor, task, kind string
	number               int64
	at                   time.Time
}

type instance struct {
	rig      *rig
	name, ip string
	settings string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
}

// must ends the case as one that could not run.
func (r *rig) must(err error) {
	if err == nil {
		return
	}
	r.record("case could not run: %v", err)
	r.stopAll()
	os.Exit(unable)
}

func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

func (r *rig) runBegun(executor string, t *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = append(r.begun, runSeen{executor: executor, task: t.task, number: t.number, at: time.Now()})
}

func (r *rig) runEnded(executor string, t *taskRun, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endeds = append(r.endeds, runSeen{executor: executor, task: t.task, number: t.number, kind: kind, at: time.Now()})
}

// endNoted records that the end of a run was taken note of.
func (r *rig) endNoted(e taskEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noted[runKey(e.task, e.number)] = time.Now()
}

// begunOf returns the runs of a task that have begun.
func (r *rig) begunOf(task string) []runSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runSeen
	for _, s := range r.begun {
		if s.task == task {
			out = append(out, s)
		}
	}
	return out
}

func (r *rig) ip(i int) string { return fmt.Sprintf("127.77.%d.%d", r.subnet, i) }

// setUp starts the stand-ins and the instances, and waits until all are ready.
func (r *rig) setUp(routes []route) {
	for r.subnet = 1; r.subnet < subnets; r.subnet++ {
		// The marker keeps other cases away from the subnet until this process ends.
		if l, err := net.Listen("tcp", r.ip(250)+":"+peerPort); err == nil {
			r.marker = l
			break
		}
	}
	r.store = newStore()
	l, err := net.Listen("tcp", r.ip(90)+":0")
	r.must(err)
	server := &http.Server{Handler: r.store.handler(), IdleTimeout: storeIdleTime}
	go func() { _ = server.Serve(l) }()
	r.storeProxy = r.startProxy(r.ip(91)+":0", l.Addr().String())
	r.store.putConfig(1, routes)
	for i := range executorCount {
		r.addExecutor(i)
	}
	var seeds []string
	for i := range instanceCount {
		seeds = append(seeds, r.ip(1+i)+":"+controlPort)
	}
	for i := range instanceCount {
		r.instances = append(r.instances, r.newInstance(i, seeds))
	}
	for _, in := range r.instances {
		in.start()
	}
	for _, in := range r.instances {
		r.waitReady(in, 15*time.Second)
	}
}

func (r *rig) newInstance(i int, seeds []string) *instance {
	in := &instance{rig: r, name: fmt.Sprintf("edge-%d", i+1), ip: r.ip(1 + i)}
	in.settings = filepath.Join(r.dir, in.name+".conf")
	lines := []string{
		"node=" + in.name, "role=instance", "machine_class=edge", "serves=edge,control", "ip=" + in.ip, "zone=z1", "region=r1",
		"zones.z1=r1", "listen.front=" + in.ip + ":" + ingressPort, "listen.ready=" + in.ip + ":" + readyPort,
		"listen.control=" + in.ip + ":" + controlPort, "port_range=7720,7735", "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"bounds.contact_ms=3000", "bounds.grace_s=6", "bounds.max_hold_ms=10000", "bounds.config_apply_ms=2000", "orders=rpc",
		"platform.address=" + r.storeProxy.address(), "platform.form=table", "platform.row_bytes=65536",
	}
	r.must(os.WriteFile(in.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return in
}

// start runs the process, and again each time that it ends, as the platform does.
func (in *instance) start() {
	log, err := os.Create(filepath.Join(in.rig.dir, in.name+".log"))
	in.rig.must(err)
	launch := func() {
		cmd := exec.Command(in.rig.program, "instance")
		cmd.Env = []string{"DAISYRACK_SETTINGS=" + in.settings, "PATH=" + os.Getenv("PATH")}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		in.rig.must(cmd.Start())
		in.cmd = cmd
	}
	in.mu.Lock()
	launch()
	in.mu.Unlock()
	go func() {
		for {
			err := in.cmd.Wait()
			in.rig.record("process of %s ended: %v", in.name, err)
			time.Sleep(200 * time.Millisecond)
			in.mu.Lock()
			if in.stopping {
				in.mu.Unlock()
				return
			}
			launch()
			in.mu.Unlock()
		}
	}()
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.rig.record("%s to %s", s, in.name)
	_ = in.cmd.Process.Signal(s)
}

// restart stops the process as the platform does, and waits until the next one is ready.
func (in *instance) restart() {
	in.mu.Lock()
	old := in.cmd.Process
	in.mu.Unlock()
	in.signal(syscall.SIGTERM)
	deadline := time.Now().Add(graceSeconds * time.Second)
	for {
		in.mu.Lock()
		gone := in.cmd.Process != old
		in.mu.Unlock()
		if gone {
			break
		}
		if time.Now().After(deadline) {
			in.signal(syscall.SIGKILL)
			deadline = deadline.Add(time.Hour)
		}
		time.Sleep(20 * time.Millisecond)
	}
	in.rig.waitReady(in, 15*time.Second)
}

func (r *rig) waitReady(in *instance, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + in.ip + ":" + readyPort + "/v1/readiness")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				r.record("%s is ready", in.name)
				return
			}
		}
	}
	r.must(fmt.Errorf("%s is not ready after %s", in.name, limit))
}

// owner returns the instance that last wrote to the store under a condition.
func (r *rig) owner() *instance {
	r.store.mu.Lock()
	value := r.store.rows[rowID{"cell", "cell", "owner"}].Value
	r.store.mu.Unlock()
	for _, in := range r.instances {
		if bytes.Contains(value, []byte(in.name)) {
			return in
		}
	}
	return nil
}

func (r *rig) stopAll() {
	for _, in := range r.instances {
		in.mu.Lock()
		in.stopping = true
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
		}
		in.mu.Unlock()
	}
}

// call makes a client's request at an instance on a connection of its own; status 0 means no response.
func (r *rig) call(in *instance, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.ip+":"+ingressPort+path, bytes.NewReader([]byte(body)))
	r.must(err)
	req.Host, req.Close = "h.example", true
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	sent := time.Since(r.begin).Seconds()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		r.record("client: %s %s at %s, sent at %.3f: %v", method, path, in.name, sent, err)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	r.record("client: %s %s at %s, sent at %.3f: %d %s", method, path, in.name, sent, res.StatusCode, text)
	return res.StatusCode, string(text)
}
