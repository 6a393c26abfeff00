package rack

import (
	"context"
	"embed"
	"io/fs"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/config"
)

//go:embed files/*.json
var exampleFiles embed.FS

// ExampleDocuments returns the embedded example jobs, routes and limits.
func ExampleDocuments() ([]config.Document, error) {
	var docs []config.Document
	err := fs.WalkDir(exampleFiles, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := exampleFiles.ReadFile(path)
		if err != nil {
			return err
		}
		doc, faults := config.Parse(path, text)
		if len(faults) > 0 {
			return errors.Newf("rack: %s", faults[0])
		}
		docs = append(docs, doc)
		return nil
	})
	return docs, errors.Wrap(err, "rack: unable to read examples")
}

const pollInterval = 50 * time.Millisecond

// Publish publishes documents and waits until every entry instance has applied them.
func (c *Cluster) Publish(ctx context.Context, docs []config.Document) error {
	instance := c.Entries[0].Instance
	res := instance.ConfigPublisher.Publish(ctx, config.Publication{
		Documents:    docs,
		BaseRevision: instance.Config.Current().Revision,
		Author:       "trial",
	})
	if res.Outcome != config.Published && res.Outcome != config.Unchanged {
		return errors.Newf("rack: documents not published: %s %s", res.Outcome, res.Reason)
	}
	return c.waitUntil(ctx, func() bool { return c.appliedByAll(res.Revision) })
}

func (c *Cluster) appliedByAll(revision int64) bool {
	for _, e := range c.Entries {
		if e.Instance.Config.Current().Revision < revision {
			return false
		}
	}
	return true
}

// waitUntil polls until done returns true or ctx is done.
func (c *Cluster) waitUntil(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// WaitReady waits until every entry instance has a configuration and every
// failure domain has an owner that has recovered its state.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return c.waitUntil(ctx, func() bool {
		owners := 0
		for _, e := range c.Entries {
			if !e.Instance.Config.Ready() {
				return false
			}
			if s := e.Instance.Owner.Status(); s != nil && s.Recovered {
				owners++
			}
		}
		return owners == len(c.Size.FailureDomains)
	})
}
