package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	announceTimeout  = 2 * time.Second
	announceMinPause = 100 * time.Millisecond
	announceMaxPause = 5 * time.Second
)

// Registrar registers an instance with the platform's list; set the fields before the first call.
type Registrar struct {
	// URL is the platform's base URL; empty means that there is no platform.
	URL string
	// Client sends the calls; nil means http.DefaultClient.
	Client *http.Client
}

// Register registers in and tries again until it succeeds, is refused for good or ctx ends.
func (a Registrar) Register(ctx context.Context, in Instance) error {
	if a.URL == "" {
		return nil
	}
	for pause := announceMinPause; ; pause = min(2*pause, announceMaxPause) {
		again, err := a.put(ctx, in)
		if err == nil || !again {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "plat: unable to register")
		case <-time.After(pause):
		}
	}
}

func (a Registrar) put(ctx context.Context, in Instance) (again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return false, errors.Wrap(err, "plat: unable to encode instance")
	}
	target := a.URL + "/v1/instances/" + url.PathEscape(in.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "plat: unable to register")
	}
	req.Header.Set(FailureDomainHeader, in.FailureDomain)
	client := a.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return true, errors.Wrap(err, "plat: unable to register")
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return false, nil
	}
	refused := res.StatusCode == http.StatusBadRequest || res.StatusCode == http.StatusConflict
	return !refused, errors.Newf("plat: registration of %q was answered with status %d", in.Name, res.StatusCode)
}
