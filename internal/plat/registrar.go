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
	registerTimeout = 2 * time.Second
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
)

// Registrar adds instances to the platform's instance list. Its fields must be set before the first call.
type Registrar struct {
	// URL is the base URL of the platform. If it is empty, Register does nothing.
	URL string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// Register registers an instance. It retries with exponential backoff until the call succeeds, the
// platform rejects the instance as invalid or outdated, or ctx ends.
func (r Registrar) Register(ctx context.Context, in Instance) error {
	if r.URL == "" {
		return nil
	}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		retry, err := r.tryRegister(ctx, in)
		if err == nil || !retry {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "plat: unable to register")
		case <-time.After(backoff):
		}
	}
}

func (r Registrar) tryRegister(ctx context.Context, in Instance) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return false, errors.Wrap(err, "plat: unable to encode instance")
	}
	target := r.URL + "/v1/instances/" + url.PathEscape(in.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "plat: unable to register")
	}
	req.Header.Set(FailureDomainHeader, in.FailureDomain)
	client := r.Client
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
	rejected := res.StatusCode == http.StatusBadRequest || res.StatusCode == http.StatusConflict
	return !rejected, errors.Newf("plat: registration of %q was answered with status %d", in.Name, res.StatusCode)
}
