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

	platformURL  string
	cancel       context.CancelFunc
	stopPlatform context.CancelFunc
	standinWG    sync.WaitGroup
	platformWG   sync.WaitGroup
}

// PlatformURL returns the base URL of the platform stand-in.
func (c *Cluster) PlatformURL() string {
	return c.platformURL
}

// EntryURLs returns the addresses of the entry instances' HTTP API.
func (c *Cluster) EntryURLs() []string {
	var urls []string
	for _, e := range c.Entries {
		urls = append(urls, "http://"+e.Instance.HTTPAddress())
	}
	return urls
}

// Start starts the stand-ins, then the entry instances.
func (c *Cluster) Start(ctx context.Context) error {
	if c.ServiceTimes == nil {
		c.ServiceTimes = defaultServiceTimes()
	}
	c.Platform = &plat.Server{}
	platformCtx, stop := context.WithCancel(ctx)
	c.stopPlatform = stop
	ctx, c.cancel = context.WithCancel(ctx)
	l, err := serve(platformCtx, &c.platformWG, c.Platform.Handler())
	if err != nil {
		return err
	}
	c.platformURL = "http://" + l.Addr().String()
	for _, domain := range c.Size.FailureDomains {
		if err := c.startStandins(ctx, domain); err != nil {
			return err
		}
	}
	for _, domain := range c.Size.FailureDomains {
		for i := range c.Size.Entries {
			if err := c.startEntry(ctx, domain, i+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve serves HTTP on a free loopback port until ctx is done.
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

func (c *Cluster) startStandins(ctx context.Context, domain string) error {
	for i := range c.Size.Workers {
		if err := c.startWorker(ctx, domain, i); err != nil {
			return err
		}
	}
	for i := range c.Size.Backends {
		if err := c.startBackend(ctx, domain, i); err != nil {
			return err
		}
	}
	return nil
}

// workersPerRack is the number of workers in one hardware rack.
const workersPerRack = 2

func (c *Cluster) startWorker(ctx context.Context, domain string, i int) error {
	w := &work.Server{
		Name:          fmt.Sprintf("worker-%s%d", domain, i+1),
		FailureDomain: domain,
		Rack:          fmt.Sprintf("rack-%s%d", domain, i/workersPerRack+1),
		Capacity:      work.Resources{CPUMillis: 16_000, MemoryMB: 65_536, Accelerators: int64((i + 1) % 2 * 2)},
		Seed:          uint64(i),
		PlatformURL:   c.platformURL,
	}
	l, err := serve(ctx, &c.standinWG, w.Handler())
	if err != nil {
		return err
	}
	w.Address = l.Addr().String()
	c.Workers = append(c.Workers, w)
	c.standinWG.Go(func() { c.logError(w.Run(ctx)) })
	return nil
}

func (c *Cluster) startBackend(ctx context.Context, domain string, i int) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "rack: unable to listen")
	}
	b := &back.Server{
		Name:          fmt.Sprintf("backend-%s%d", domain, i+1),
		Address:       l.Addr().String(),
		FailureDomain: domain,
		Seed:          uint64(i),
		PlatformURL:   c.platformURL,
		Routes:        c.ServiceTimes,
	}
	c.Backends = append(c.Backends, b)
	c.standinWG.Go(func() { c.logError(b.Serve(ctx, l)) })
	return nil
}

func defaultServiceTimes() map[string]back.ServiceTime {
	return map[string]back.ServiceTime{
		"booking": {Min: time.Millisecond, Mean: 4 * time.Millisecond},
		"reorder": {Min: time.Millisecond, Mean: 4 * time.Millisecond},
		"report":  {Min: 5 * time.Millisecond, Mean: 20 * time.Millisecond},
	}
}

func (c *Cluster) startEntry(ctx context.Context, domain string, number int) error {
	settings := setup.Entry{
		Name:           fmt.Sprintf("entry-%s%d", domain, number),
		FailureDomain:  domain,
		FailureDomains: c.Size.FailureDomains,
		HTTPAddress:    loopback,
		PeerAddress:    loopback,
		PlatformURL:    c.platformURL,
	}.WithDefaults()
	for _, e := range c.Entries {
		settings.Peers = append(settings.Peers, e.Instance.PeerAddress())
	}
	app, err := entry.New(settings, c.Log)
	if err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	c.Entries = append(c.Entries, app)
	return Announce(ctx, c.platformURL, app)
}

// Announce adds an entry instance to the instance list of the platform stand-in
// at url. A real platform lists its instances itself.
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

func (c *Cluster) logError(err error) {
	if err != nil {
		c.Log.WithError(err).Warn("stand-in stopped with an error")
	}
}

// Drain stops all entry instances gracefully and concurrently.
func (c *Cluster) Drain(ctx context.Context) error {
	errs := make([]error, len(c.Entries))
	var wg sync.WaitGroup
	for i, e := range c.Entries {
		wg.Go(func() { errs[i] = e.Stop(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close stops the stand-ins, the platform last, because the others deregister
// from it when they stop.
func (c *Cluster) Close() {
	c.cancel()
	c.standinWG.Wait()
	c.stopPlatform()
	c.platformWG.Wait()
}
