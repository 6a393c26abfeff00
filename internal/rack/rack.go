package rack

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/setup"
	"github.com/daisyrack/daisyrack/internal/work"
)

const loopback = "127.0.0.1:0"

// Size describes a cluster; the counts are per failure domain.
type Size struct {
	FailureDomains []string
	Entries        int
	Workers        int
	Backends       int
}

// DefaultSize returns the size of a small cluster with three failure domains.
func DefaultSize() Size {
	return Size{FailureDomains: []string{"a", "b", "c"}, Entries: 2, Workers: 4, Backends: 3}
}

// Cluster is a whole cluster in one process. Size, Log and ServiceTimes must be
// set before Start, which fills in the other exported fields.
type Cluster struct {
	Size Size
	Log  log.Interface

	// ServiceTimes are the backend servers' service times by route; if nil, Start
	// sets defaults for the example routes.
	ServiceTimes map[string]back.ServiceTime

	Platform *plat.Server
	Workers  []*work.Server
	Backends []*back.Server
	Entries  []*entry.App

	url          string
	cancel       context.CancelFunc
	stopPlatform context.CancelFunc
	wg           sync.WaitGroup
	platform     sync.WaitGroup
}

// PlatformURL returns the base URL of the platform stand-in.
func (r *Cluster) PlatformURL() string {
	return r.url
}

// EntryURLs returns the addresses of the entry instances' HTTP API.
func (r *Cluster) EntryURLs() []string {
	var urls []string
	for _, e := range r.Entries {
		urls = append(urls, "http://"+e.Instance.HTTPAddress())
	}
	return urls
}

// Start starts the stand-ins, then the entry instances.
func (r *Cluster) Start(ctx context.Context) error {
	if r.ServiceTimes == nil {
		r.ServiceTimes = serviceTimes()
	}
	r.Platform = &plat.Server{}
	platform, stop := context.WithCancel(ctx)
	r.stopPlatform = stop
	ctx, r.cancel = context.WithCancel(ctx)
	l, err := serve(platform, &r.platform, r.Platform.Handler())
	if err != nil {
		return err
	}
	r.url = "http://" + l.Addr().String()
	for _, domain := range r.Size.FailureDomains {
		if err := r.startDomain(ctx, domain); err != nil {
			return err
		}
	}
	for _, domain := range r.Size.FailureDomains {
		for i := range r.Size.Entries {
			if err := r.startEntry(ctx, domain, i+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve answers HTTP on a loopback address until ctx ends.
func serve(ctx context.Context, wg *sync.WaitGroup, h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "rack: unable to listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	wg.Go(func() { _ = server.Serve(l) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l, nil
}

func (r *Cluster) startDomain(ctx context.Context, domain string) error {
	for i := range r.Size.Workers {
		if err := r.startWorker(ctx, domain, i); err != nil {
			return err
		}
	}
	for i := range r.Size.Backends {
		if err := r.startBackend(ctx, domain, i); err != nil {
			return err
		}
	}
	return nil
}

// workersPerRack is the number of workers in one rack of the stand-in fleet.
const workersPerRack = 2

func (r *Cluster) startWorker(ctx context.Context, domain string, i int) error {
	w := &work.Server{
		Name:          fmt.Sprintf("worker-%s%d", domain, i+1),
		FailureDomain: domain,
		Rack:          fmt.Sprintf("rack-%s%d", domain, i/workersPerRack+1),
		Capacity:      work.Resources{CPUMillis: 16_000, MemoryMB: 65_536, Accelerators: int64((i + 1) % 2 * 2)},
		Seed:          uint64(i),
		PlatformURL:   r.url,
	}
	l, err := serve(ctx, &r.wg, w.Handler())
	if err != nil {
		return err
	}
	w.Address = l.Addr().String()
	r.Workers = append(r.Workers, w)
	r.wg.Go(func() { r.report(w.Run(ctx)) })
	return nil
}

func (r *Cluster) startBackend(ctx context.Context, domain string, i int) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "rack: unable to listen")
	}
	b := &back.Server{
		Name:          fmt.Sprintf("backend-%s%d", domain, i+1),
		Address:       l.Addr().String(),
		FailureDomain: domain,
		Seed:          uint64(i),
		PlatformURL:   r.url,
		Routes:        r.ServiceTimes,
	}
	r.Backends = append(r.Backends, b)
	r.wg.Go(func() { r.report(b.Serve(ctx, l)) })
	return nil
}

func serviceTimes() map[string]back.ServiceTime {
	return map[string]back.ServiceTime{
		"booking": {Min: time.Millisecond, Mean: 4 * time.Millisecond},
		"reorder": {Min: time.Millisecond, Mean: 4 * time.Millisecond},
		"report":  {Min: 5 * time.Millisecond, Mean: 20 * time.Millisecond},
	}
}

func (r *Cluster) startEntry(ctx context.Context, domain string, number int) error {
	settings := setup.Entry{
		Name:           fmt.Sprintf("entry-%s%d", domain, number),
		FailureDomain:  domain,
		FailureDomains: r.Size.FailureDomains,
		HTTPAddress:    loopback,
		PeerAddress:    loopback,
		PlatformURL:    r.url,
	}.WithDefaults()
	for _, e := range r.Entries {
		settings.Peers = append(settings.Peers, e.Instance.PeerAddress())
	}
	app, err := entry.New(settings, r.Log)
	if err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	r.Entries = append(r.Entries, app)
	return Announce(ctx, r.url, app)
}

// Announce puts an entry instance on the list of the platform's stand-in; a
// real platform knows its instances.
func Announce(ctx context.Context, url string, app *entry.App) error {
	a := plat.Registrar{URL: url}
	return a.Register(ctx, plat.Instance{
		Name:          app.Instance.Settings.Name,
		Role:          "entry",
		Address:       app.Instance.PeerAddress(),
		FailureDomain: app.Instance.Settings.FailureDomain,
		State:         "live",
		Incarnation:   app.Instance.Incarnation,
	})
}

func (r *Cluster) report(err error) {
	if err != nil {
		r.Log.WithError(err).Warn("stand-in ended")
	}
}

// Drain stops the entry instances gracefully, all at the same time.
func (r *Cluster) Drain(ctx context.Context) error {
	errs := make([]error, len(r.Entries))
	var wg sync.WaitGroup
	for i, e := range r.Entries {
		wg.Go(func() { errs[i] = e.Stop(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close stops the stand-ins, the platform last, since the others sign off there.
func (r *Cluster) Close() {
	r.cancel()
	r.wg.Wait()
	r.stopPlatform()
	r.platform.Wait()
}
