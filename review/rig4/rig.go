package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rig is one play of a case: the platform, the executors, the clients and the instances of the system.
type rig struct {
	program string
	dir     string
	subnet  string
	trouble bool
	store   *store
	storeAt string
	maxHold time.Duration
	// workOf returns how long a task works; 0 means until it is stopped.
	workOf func(job string, o order) time.Duration
	// tailOf returns the tail of the response times, in milliseconds, of tasks of a job that serves, 0 of another one;
	// pace is the highest of other tasks on the executor.
	tailOf func(job string, pace int) int
	// lateShare is the share of orders, in thousandths, that get no answer and are carried out late. orders counts those
	// that came meanwhile, late those of them that were late.
	lateShare, orders, late int64

	begun     time.Time
	instances []*instance
	executors []*executor

	mu     sync.Mutex
	record *os.File
	// starts counts the starts of each job's tasks.
	starts map[string]int
	ending bool
}

// instance is one process of the system, which is started again when it ends by itself.
type instance struct {
	rig     *rig
	name    string
	zone    string
	ip      string
	front   string
	gone    chan struct{}
	logPath string
	// toldToStop is set when the process was sent SIGTERM.
	toldToStop atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// ends are how its processes ended by themselves.
	ends []string
	// mostKB is the most memory that one of its processes had.
	mostKB int
}

// newRig starts the store. The temporary folder holds settings and logs of the instances.
func newRig(program, folder string, trouble bool) (*rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig4-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		program: program, dir: dir, trouble: trouble, store: newStore(), maxHold: 10 * time.Second, begun: time.Now(),
		record: record, starts: make(map[string]int),
	}
	if r.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", r.subnet+".1:0")
	if err != nil {
		return nil, err
	}
	r.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	return r, nil
}

// freeSubnet returns the first three octets of loopback addresses on which the ports of the instances are free.
func freeSubnet() (string, error) {
	for i := range 200 {
		n := (os.Getpid() + 37*i) % 40000
		subnet := fmt.Sprintf("127.%d.%d", 20+n/200, n%200)
		l, err := net.Listen("tcp", subnet+".10:8161")
		if err != nil {
			continue
		}
		_ = l.Close()
		return subnet, nil
	}
	return "", fmt.Errorf("no loopback addresses are free")
}

// owner returns the instance that the executors last heard as the owner, by the row that it renews in the store; nil if
// there is none.
func (r *rig) owner() *instance {
	row := r.store.ownerRow()
	for _, i := range r.instances {
		if bytes.Contains(row, []byte(i.name)) {
			return i
		}
	}
	return nil
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// started records the start of a task and returns how long it works.
func (r *rig) started(x *executor, job string, o order) time.Duration {
	r.mu.Lock()
	r.starts[job]++
	r.mu.Unlock()
	r.note("executor %s: starts %s run %d, fence %d", x.id, o.Task, o.Run, o.Fence)
	return r.workOf(job, o)
}

// comesLate draws whether an order gets no answer and is carried out late. Of all orders so far no more than lateShare do.
func (r *rig) comesLate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateShare == 0 {
		return false
	}
	r.orders++
	if rand.Int64N(1000) >= r.lateShare || (r.late+1)*1000 > r.lateShare*r.orders {
		return false
	}
	r.late++
	return true
}

// setLateShare changes the share of late orders.
func (r *rig) setLateShare(share int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateShare = share
}

// lateOrders returns how many orders came while some were late, and how many were.
func (r *rig) lateOrders() (orders, late int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders, r.late
}

// addExecutor starts an executor.
func (r *rig) addExecutor(id, zone, rack string) error {
	x, err := startExecutor(r, id, zone, rack)
	r.executors = append(r.executors, x)
	return err
}

// finishOne makes one task of a job end done.
func (r *rig) finishOne(job string) {
	for _, x := range r.executors {
		if x.finishOne(job) {
			return
		}
	}
}

// running returns the number of tasks that run.
func (r *rig) running() int {
	n := 0
	for _, x := range r.executors {
		x.mu.Lock()
		n += len(x.runs)
		x.mu.Unlock()
	}
	return n
}

// startsOf returns the number of starts of tasks of a job.
func (r *rig) startsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[job]
}

// addInstance adds an instance, which startAll starts.
func (r *rig) addInstance(zone string) *instance {
	n := len(r.instances)
	ip := fmt.Sprintf("%s.%d", r.subnet, 10+n)
	i := &instance{
		rig: r, name: "edge-" + zone + "-" + strconv.Itoa(n), zone: zone, ip: ip, front: ip + ":8161",
		gone: make(chan struct{}),
	}
	i.logPath = filepath.Join(r.dir, i.name+".log")
	r.instances = append(r.instances, i)
	return i
}

func (i *instance) settings() string { return filepath.Join(i.rig.dir, i.name+".conf") }

// writeSettings writes the settings file of the instance, like that of a small deployment.
func (i *instance) writeSettings() error {
	var seeds []string
	for _, other := range i.rig.instances {
		seeds = append(seeds, other.ip+":8166")
	}
	lines := []string{
		"node=" + i.name, "role=instance", "machine_class=edge", "serves=edge,control", "ip=" + i.ip, "zone=" + i.zone,
		"listen.front=" + i.front, "listen.ready=" + i.ip + ":8167", "listen.control=" + i.ip + ":8166", "port_range=7720,7735",
		"seeds=" + strings.Join(seeds, ","), "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "bounds.grace_s=6", "bounds.max_hold_ms=10000", "bounds.contact_ms=3000", "bounds.config_apply_ms=2000",
		"heartbeat_ms=1500", "orders=rpc", "platform.address=" + i.rig.storeAt,
	}
	return os.WriteFile(i.settings(), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// run starts the process, and starts it again when it has ended by itself.
func (i *instance) run() {
	defer close(i.gone)
	for {
		log, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return
		}
		cmd := exec.Command(i.rig.program, "instance")
		cmd.Env = append(os.Environ(), "DAISYRACK_SETTINGS="+i.settings())
		cmd.Stdout, cmd.Stderr = log, log
		i.mu.Lock()
		if i.rig.isEnding() || cmd.Start() != nil {
			i.mu.Unlock()
			_ = log.Close()
			return
		}
		i.cmd = cmd
		i.mu.Unlock()
		begun := time.Now()
		_ = cmd.Wait()
		_ = log.Close()
		if i.rig.isEnding() {
			return
		}
		state := cmd.ProcessState.String()
		if i.toldToStop.Swap(false) {
			i.rig.note("%s has stopped as it was told: %s", i.name, state)
			time.Sleep(restartTime)
			continue
		}
		i.mu.Lock()
		i.ends = append(i.ends, state)
		i.mu.Unlock()
		i.rig.note("the process of %s ends by itself after %.1f s: %s: %s", i.name, time.Since(begun).Seconds(), state, i.lastWords())
		time.Sleep(restartTime)
	}
}

// restartTime is how long the platform takes to start a process again.
const restartTime = 500 * time.Millisecond

// restart sends SIGTERM to the process, as planned work does. It is started again when it has ended.
func (i *instance) restart() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rig.note("%s is told to stop", i.name)
	i.toldToStop.Store(true)
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
}

// lastWords returns the line of the log that tells why a process of Go ended by itself, and the place in the source.
func (i *instance) lastWords() string {
	text, err := os.ReadFile(i.logPath)
	if err != nil {
		return ""
	}
	at := bytes.LastIndex(text, []byte("\npanic: "))
	if at < 0 {
		return ""
	}
	lines := strings.Split(string(text[at+1:]), "\n")
	out := lines[0]
	for _, line := range lines {
		if _, place, found := strings.Cut(line, "/internal/"); found {
			place, _, _ = strings.Cut(place, " ")
			return out + " at internal/" + place
		}
	}
	return out
}

func (r *rig) isEnding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ending
}

// startAll starts the instances and waits until one of them serves.
func (r *rig) startAll() error {
	for _, i := range r.instances {
		if err := i.writeSettings(); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		go i.run()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range r.instances {
		for {
			if status, _ := request(http.MethodGet, "http://"+i.ip+":8167/v1/readiness", "", nil, time.Second); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", i.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the rig has started.
func (r *rig) stop() {
	r.mu.Lock()
	r.ending = true
	r.mu.Unlock()
	for _, i := range r.instances {
		i.mu.Lock()
		if i.cmd != nil {
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
		}
		i.mu.Unlock()
		<-i.gone
	}
	_ = os.RemoveAll(r.dir)
}

// request makes one request. Status 0 means that no complete response arrived.
func request(method, url, host string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(bytes.TrimSpace(answer))
}
