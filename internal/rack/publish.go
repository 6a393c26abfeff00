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
func (r *Cluster) Publish(ctx context.Context, docs []config.Document) error {
	node := r.Entries[0].Instance
	res := node.ConfigPublisher.Publish(ctx, config.Publication{
		Documents:    docs,
		BaseRevision: node.Config.Current().Revision,
		Author:       "trial",
	})
	if res.Outcome != config.Published && res.Outcome != config.Unchanged {
		return errors.Newf("rack: documents not published: %s %s", res.Outcome, res.Reason)
	}
	return r.await(ctx, func() bool { return r.inForce(res.Revision) })
}

func (r *Cluster) inForce(revision int64) bool {
	for _, e := range r.Entries {
		if e.Instance.Config.Current().Revision < revision {
			return false
		}
	}
	return true
}

// await waits until done is true or ctx ends.
func (r *Cluster) await(ctx context.Context, done func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// WaitReady waits until every entry instance has a configuration and every
// failure domain has an owner that has recovered its state.
func (r *Cluster) WaitReady(ctx context.Context) error {
	return r.await(ctx, func() bool {
		owners := 0
		for _, e := range r.Entries {
			if !e.Instance.Config.Ready() {
				return false
			}
			if s := e.Instance.Owner.Status(); s != nil && s.Recovered {
				owners++
			}
		}
		return owners == len(r.Size.FailureDomains)
	})
}
