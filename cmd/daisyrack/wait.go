package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/daisyrack/daisyrack/internal/entry"
)

const waitInterval = 200 * time.Millisecond

// awaitRevision waits until every reachable instance has a revision in force.
func awaitRevision(ctx context.Context, c *client, revision int64, limit time.Duration) error {
	if limit <= 0 {
		return nil
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	for {
		var s entry.Status
		_, err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
		behind := behindOf(s, revision)
		if err == nil && len(behind) == 0 {
			fmt.Printf("in force on %d instances after %s\n", len(s.Instances), time.Since(started).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return &statusError{status: exitNo, text: fmt.Sprintf("published, but not yet in force on %v", behind)}
		case <-tick.C:
			fmt.Fprintf(os.Stderr, "waiting for %v\n", behind)
		}
	}
}

func behindOf(s entry.Status, revision int64) []string {
	var names []string
	for _, i := range s.Instances {
		if i.ConfigRevision < revision {
			names = append(names, i.Name)
		}
	}
	return names
}
