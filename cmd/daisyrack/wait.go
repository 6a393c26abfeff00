package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/daisyrack/daisyrack/internal/entry"
)

const pollInterval = 200 * time.Millisecond

// waitForRevision waits until every reachable instance has applied the revision.
func waitForRevision(ctx context.Context, c *client, revision int64, timeout time.Duration) error {
	if timeout <= 0 {
		return nil
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var s entry.Status
		_, err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
		behind := instancesBehind(s, revision)
		if err == nil && len(behind) == 0 {
			fmt.Printf("in force on %d instances after %s\n", len(s.Instances), time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return &statusError{status: exitRejected, text: fmt.Sprintf("published, but not yet in force on %v", behind)}
		case <-ticker.C:
			fmt.Fprintf(os.Stderr, "waiting for %v\n", behind)
		}
	}
}

// instancesBehind returns the names of the instances that have not applied the
// revision.
func instancesBehind(s entry.Status, revision int64) []string {
	var names []string
	for _, i := range s.Instances {
		if i.ConfigRevision < revision {
			names = append(names, i.Name)
		}
	}
	return names
}
