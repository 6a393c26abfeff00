package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	headKey   = "conf/head"
	docPrefix = "conf/doc/"
	logPrefix = "conf/log/"

	// maxLogRevisions is the number of revisions kept in the table's change log. An instance that
	// is further behind reads all documents.
	maxLogRevisions = 1024

	// maxPublishAttempts limits the attempts of a publication that keeps losing the race for the
	// head row against publications of other documents.
	maxPublishAttempts = 16
)

// Publication is one operator's request to publish and remove documents.
type Publication struct {
	Documents []Document `json:"documents"`
	// Removed lists ids (KIND/NAME, with kind job, route or limits).
	Removed []string `json:"removed,omitempty"`
	// BaseRevision is the revision that the operator's change is based on. A document that changed
	// after it is a conflict.
	BaseRevision int64  `json:"base_revision"`
	Author       string `json:"author"`
}

// PublishOutcome is the outcome of a publication.
type PublishOutcome string

// Outcomes of a publication. With Unknown, the table may or may not have committed it; with
// Unavailable, it did not.
const (
	Published   PublishOutcome = "published"
	Unchanged   PublishOutcome = "unchanged"
	Invalid     PublishOutcome = "faulty"
	Conflicting PublishOutcome = "conflict"
	Unknown     PublishOutcome = "unknown"
	Unavailable PublishOutcome = "unavailable"
)

// Conflict describes a document that another operator changed after the publication's base
// revision.
type Conflict struct {
	Document  string `json:"document"`
	ChangedBy string `json:"winner"`
	AtMS      int64  `json:"at_ms"`
	Revision  int64  `json:"revision"`
}

// String formats the conflict on one line.
func (c Conflict) String() string {
	at := time.UnixMilli(c.AtMS).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s was changed by %s at %s in revision %d", c.Document, c.ChangedBy, at, c.Revision)
}

// PublishResult is the result of a publication. Reason explains the outcomes Unknown and
// Unavailable.
type PublishResult struct {
	Outcome    PublishOutcome `json:"outcome"`
	Revision   int64          `json:"revision,omitempty"`
	Conflicts  []Conflict     `json:"conflicts,omitempty"`
	Violations []Violation    `json:"faults,omitempty"`
	Reason     string         `json:"reason,omitempty"`
}

// Head is the value of the table row conf/head: the newest committed revision.
type Head struct {
	Revision int64 `json:"revision"`
}

// Publisher commits publications to the table. All fields must be set before the first call.
type Publisher struct {
	ReadRow func(ctx context.Context, key string) (table.Row, bool, error)
	Commit  func(ctx context.Context, c table.Transaction) table.Result
	Now     func() time.Time
}

// Publish validates a publication and commits all of it or nothing. It retries when another
// publication changed the head first without a conflict.
func (p *Publisher) Publish(ctx context.Context, pub Publication) PublishResult {
	if violations := validatePublication(pub); len(violations) > 0 {
		return PublishResult{Outcome: Invalid, Violations: violations}
	}
	for range maxPublishAttempts {
		res, retry := p.attempt(ctx, pub)
		if !retry {
			return res
		}
	}
	return PublishResult{Outcome: Unavailable, Reason: "too many publications at the same time"}
}

// validatePublication repeats the caller's validation, which the server does not rely on.
func validatePublication(pub Publication) []Violation {
	var violations []Violation
	for _, doc := range pub.Documents {
		parsed, found := Parse(doc.File, doc.Body)
		violations = append(violations, found...)
		if len(found) == 0 && (parsed.Kind != doc.Kind || parsed.Name != doc.Name) {
			violations = append(violations, Violation{
				File:    doc.File,
				Field:   "kind, name",
				Value:   doc.ID(),
				Allowed: "the kind and name that the document itself gives",
			})
		}
	}
	violations = append(violations, ValidateSet(pub.Documents)...)
	violations = append(violations, checkRemoved(pub)...)
	total := len(pub.Documents) + len(pub.Removed)
	if total > MaxPublicationDocuments && len(pub.Removed) > 0 {
		violations = append(violations, Violation{
			Value:   fmt.Sprintf("%d documents with the removed ones", total),
			Allowed: fmt.Sprintf("at most %d in one publication", MaxPublicationDocuments),
		})
	}
	return violations
}

// checkRemoved reports removed ids that are malformed or that the publication names twice.
func checkRemoved(pub Publication) []Violation {
	named := make(map[string]bool)
	for _, doc := range pub.Documents {
		named[doc.ID()] = true
	}
	var violations []Violation
	for _, id := range pub.Removed {
		kind, name, _ := strings.Cut(id, "/")
		known := kind == "job" || kind == KindRoute || kind == KindLimits
		if !known || name == "" || named[id] {
			violations = append(violations, Violation{
				Field:   "removed",
				Value:   id,
				Allowed: "KIND/NAME with kind job, route or limits, named once in a publication",
			})
		}
		named[id] = true
	}
	return violations
}

// attempt tries to commit the publication once. retry is set if the commit failed its checks,
// because another publication was committed after the table was read.
func (p *Publisher) attempt(ctx context.Context, pub Publication) (res PublishResult, retry bool) {
	pl, err := p.buildPlan(ctx, pub)
	if err != nil {
		return PublishResult{Outcome: Unavailable, Reason: err.Error()}, false
	}
	if len(pl.conflicts) > 0 {
		return PublishResult{Outcome: Conflicting, Conflicts: pl.conflicts}, false
	}
	if len(pl.changes) == 0 {
		return PublishResult{Outcome: Unchanged, Revision: pl.head.Revision}, false
	}
	tx, err := pl.transaction()
	if err != nil {
		return PublishResult{Outcome: Unavailable, Reason: err.Error()}, false
	}
	switch result := p.Commit(ctx, tx); result.Outcome {
	case table.Committed:
		return PublishResult{Outcome: Published, Revision: pl.head.Revision + 1}, false
	case table.Conflict:
		return PublishResult{}, true
	case table.Refused:
		return PublishResult{Outcome: Unavailable, Reason: reasonOf(result.Err)}, false
	default:
		return PublishResult{Outcome: Unknown, Reason: reasonOf(result.Err)}, false
	}
}

func reasonOf(err error) string {
	if err == nil {
		return "the table service is unavailable"
	}
	return err.Error()
}

// plan is what one attempt to publish read from the table, and the changes it wants to commit.
type plan struct {
	head        Head
	headVersion int64
	checks      []table.Check
	changes     []Change
	conflicts   []Conflict

	// removals holds the documents that were removed after the base revision, by id. It is read
	// from the log on first use.
	removals map[string]VersionedDocument
}

func (p *Publisher) buildPlan(ctx context.Context, pub Publication) (*plan, error) {
	head, version, err := readHead(ctx, p.ReadRow)
	if err != nil {
		return nil, err
	}
	pl := &plan{head: head, headVersion: version}
	for _, doc := range pub.Documents {
		doc.File = ""
		versioned := VersionedDocument{Document: doc, Version: head.Revision + 1, Author: pub.Author, AtMS: p.Now().UnixMilli()}
		change := Change{VersionedDocument: versioned, Revision: head.Revision + 1}
		if err := p.addChange(ctx, pl, doc.ID(), change, pub.BaseRevision); err != nil {
			return nil, err
		}
	}
	for _, id := range pub.Removed {
		kind, name, _ := strings.Cut(id, "/")
		if kind == "job" {
			kind = KindService
		}
		doc := Document{Kind: kind, Name: name}
		versioned := VersionedDocument{Document: doc, Version: head.Revision + 1, Author: pub.Author, AtMS: p.Now().UnixMilli()}
		change := Change{VersionedDocument: versioned, Revision: head.Revision + 1, Deleted: true}
		if err := p.addChange(ctx, pl, id, change, pub.BaseRevision); err != nil {
			return nil, err
		}
	}
	return pl, nil
}

// addChange adds one change to the plan, or a conflict. It adds nothing if the table already holds
// the same content.
func (p *Publisher) addChange(ctx context.Context, pl *plan, id string, change Change, baseRevision int64) error {
	row, found, err := p.ReadRow(ctx, docPrefix+id)
	if err != nil {
		return errors.Wrap(err, "config: unable to read document")
	}
	var old VersionedDocument
	if found {
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return errors.Wrapf(err, "config: unable to decode document %s", id)
		}
	}
	if found == !change.Deleted && SameBody(old.Body, change.Body) {
		return nil
	}
	if !found && baseRevision < pl.head.Revision {
		if old, err = p.removalAfter(ctx, pl, id, baseRevision); err != nil {
			return err
		}
	}
	if old.Version > baseRevision {
		c := Conflict{Document: id, ChangedBy: old.Author, AtMS: old.AtMS, Revision: old.Version}
		pl.conflicts = append(pl.conflicts, c)
		return nil
	}
	pl.checks = append(pl.checks, table.Check{Key: docPrefix + id, Version: row.Version})
	pl.changes = append(pl.changes, change)
	return nil
}

// removalAfter returns who removed the document after the base revision, and when, or a zero value
// if it was not removed. Only the log records removals: without this check, a publication could
// bring back a document that another operator removed, without a conflict.
func (p *Publisher) removalAfter(ctx context.Context, pl *plan, id string, baseRevision int64) (VersionedDocument, error) {
	if pl.removals != nil {
		return pl.removals[id], nil
	}
	pl.removals = make(map[string]VersionedDocument)
	after := max(baseRevision, pl.head.Revision-maxLogRevisions)
	for revision := after + 1; revision <= pl.head.Revision; revision++ {
		row, found, err := p.ReadRow(ctx, logKey(revision))
		if err != nil {
			return VersionedDocument{}, errors.Wrap(err, "config: unable to read changes")
		}
		var changes []Change
		if found {
			err = json.Unmarshal(row.Value, &changes)
		}
		if err != nil {
			return VersionedDocument{}, errors.Wrapf(err, "config: unable to decode changes of revision %d", revision)
		}
		for _, c := range changes {
			if c.Deleted {
				pl.removals[c.ID()] = c.VersionedDocument
			}
		}
	}
	return pl.removals[id], nil
}

// transaction returns the table transaction that commits the plan. It checks that neither the
// documents nor the head changed since they were read.
func (pl *plan) transaction() (table.Transaction, error) {
	revision := pl.head.Revision + 1
	tx := table.Transaction{Checks: append(pl.checks, table.Check{Key: headKey, Version: pl.headVersion})}
	for _, change := range pl.changes {
		if change.Deleted {
			tx.Deletes = append(tx.Deletes, docPrefix+change.ID())
			continue
		}
		value, err := json.Marshal(change.VersionedDocument)
		if err != nil {
			return tx, errors.Wrap(err, "config: unable to encode document")
		}
		tx.Puts = append(tx.Puts, table.Put{Key: docPrefix + change.ID(), Value: value})
	}
	logEntry, err := json.Marshal(pl.changes)
	if err != nil {
		return tx, errors.Wrap(err, "config: unable to encode changes")
	}
	head, err := json.Marshal(Head{Revision: revision})
	if err != nil {
		return tx, errors.Wrap(err, "config: unable to encode head")
	}
	tx.Puts = append(tx.Puts, table.Put{Key: logKey(revision), Value: logEntry}, table.Put{Key: headKey, Value: head})
	if revision > maxLogRevisions {
		tx.Deletes = append(tx.Deletes, logKey(revision-maxLogRevisions))
	}
	return tx, nil
}

func logKey(revision int64) string {
	return fmt.Sprintf("%s%016d", logPrefix, revision)
}

func readHead(ctx context.Context, read func(context.Context, string) (table.Row, bool, error)) (Head, int64, error) {
	var head Head
	row, found, err := read(ctx, headKey)
	if err != nil || !found {
		return head, 0, errors.Wrap(err, "config: unable to read head")
	}
	err = json.Unmarshal(row.Value, &head)
	return head, row.Version, errors.Wrap(err, "config: unable to decode head")
}
