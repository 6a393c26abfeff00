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

	// keptRevisions bounds the log in the table; an instance further behind
	// reads all documents.
	keptRevisions = 1024

	// publishTries bounds the retries after other operators' publications
	// that touch none of the same documents.
	publishTries = 16
)

// Publication is what one operator wants to have in force.
type Publication struct {
	Documents []Document `json:"documents"`
	// Removed lists ids (KIND/NAME, with kind job, route or limits).
	Removed []string `json:"removed,omitempty"`
	// BaseRevision is the revision that the operator saw before the change.
	BaseRevision int64  `json:"base_revision"`
	Author       string `json:"author"`
}

// PublishOutcome says what became of a publication.
type PublishOutcome string

// Outcomes of a publication.
const (
	Published   PublishOutcome = "published"
	Unchanged   PublishOutcome = "unchanged"
	Invalid     PublishOutcome = "faulty"
	Conflicting PublishOutcome = "conflict"
	Unknown     PublishOutcome = "unknown"
	Unavailable PublishOutcome = "unavailable"
)

// Conflict names a document that another operator changed first.
type Conflict struct {
	Document  string `json:"document"`
	ChangedBy string `json:"winner"`
	AtMS      int64  `json:"at_ms"`
	Revision  int64  `json:"revision"`
}

// String returns the conflict as one line.
func (c Conflict) String() string {
	at := time.UnixMilli(c.AtMS).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s was changed by %s at %s in revision %d", c.Document, c.ChangedBy, at, c.Revision)
}

// PublishResult is the answer to a publication.
type PublishResult struct {
	Outcome    PublishOutcome `json:"outcome"`
	Revision   int64          `json:"revision,omitempty"`
	Conflicts  []Conflict     `json:"conflicts,omitempty"`
	Violations []Violation    `json:"faults,omitempty"`
	Reason     string         `json:"reason,omitempty"`
}

// Head is the content of the row conf/head.
type Head struct {
	Revision int64 `json:"revision"`
}

// Publisher commits publications; set the fields before the first call.
type Publisher struct {
	ReadRow func(ctx context.Context, key string) (table.Row, bool, error)
	Commit  func(ctx context.Context, c table.Transaction) table.Result
	Now     func() time.Time
}

// Publish checks a publication and commits all of it or nothing.
func (p *Publisher) Publish(ctx context.Context, pub Publication) PublishResult {
	if faults := recheck(pub); len(faults) > 0 {
		return PublishResult{Outcome: Invalid, Violations: faults}
	}
	for range publishTries {
		res, again := p.try(ctx, pub)
		if !again {
			return res
		}
	}
	return PublishResult{Outcome: Unavailable, Reason: "too many publications at the same time"}
}

// recheck does not trust the caller's own check.
func recheck(pub Publication) []Violation {
	var faults []Violation
	for _, doc := range pub.Documents {
		parsed, found := Parse(doc.File, doc.Body)
		faults = append(faults, found...)
		if len(found) == 0 && (parsed.Kind != doc.Kind || parsed.Name != doc.Name) {
			faults = append(faults, Violation{
				File:    doc.File,
				Field:   "kind, name",
				Value:   doc.ID(),
				Allowed: "the kind and name that the document itself gives",
			})
		}
	}
	faults = append(faults, ValidateSet(pub.Documents)...)
	faults = append(faults, checkRemoved(pub)...)
	sum := len(pub.Documents) + len(pub.Removed)
	if sum > MaxPublicationDocuments && len(pub.Removed) > 0 {
		faults = append(faults, Violation{
			Value:   fmt.Sprintf("%d documents with the removed ones", sum),
			Allowed: fmt.Sprintf("at most %d in one publication", MaxPublicationDocuments),
		})
	}
	return faults
}

// checkRemoved finds ids that name no document, and those named twice.
func checkRemoved(pub Publication) []Violation {
	named := make(map[string]bool)
	for _, doc := range pub.Documents {
		named[doc.ID()] = true
	}
	var faults []Violation
	for _, id := range pub.Removed {
		kind, name, _ := strings.Cut(id, "/")
		known := kind == "job" || kind == KindRoute || kind == KindLimits
		if !known || name == "" || named[id] {
			faults = append(faults, Violation{
				Field:   "removed",
				Value:   id,
				Allowed: "KIND/NAME with kind job, route or limits, named once in a publication",
			})
		}
		named[id] = true
	}
	return faults
}

// try makes one attempt; again is set when only the head had moved.
func (p *Publisher) try(ctx context.Context, pub Publication) (res PublishResult, again bool) {
	plan, err := p.plan(ctx, pub)
	if err != nil {
		return PublishResult{Outcome: Unavailable, Reason: err.Error()}, false
	}
	if len(plan.conflicts) > 0 {
		return PublishResult{Outcome: Conflicting, Conflicts: plan.conflicts}, false
	}
	if len(plan.changes) == 0 {
		return PublishResult{Outcome: Unchanged, Revision: plan.head.Revision}, false
	}
	commit, err := plan.commit()
	if err != nil {
		return PublishResult{Outcome: Unavailable, Reason: err.Error()}, false
	}
	switch out := p.Commit(ctx, commit); out.Outcome {
	case table.Committed:
		return PublishResult{Outcome: Published, Revision: plan.head.Revision + 1}, false
	case table.Conflict:
		return PublishResult{}, true
	case table.Refused:
		return PublishResult{Outcome: Unavailable, Reason: reasonOf(out.Err)}, false
	default:
		return PublishResult{Outcome: Unknown, Reason: reasonOf(out.Err)}, false
	}
}

func reasonOf(err error) string {
	if err == nil {
		return "the table service is unavailable"
	}
	return err.Error()
}

// plan is one attempt's view of the table.
type plan struct {
	head        Head
	headVersion int64
	checks      []table.Check
	changes     []Change
	conflicts   []Conflict

	// removals are those after the operator's base revision, by id; read only when needed.
	removals map[string]VersionedDocument
}

func (p *Publisher) plan(ctx context.Context, pub Publication) (*plan, error) {
	head, version, err := readHead(ctx, p.ReadRow)
	if err != nil {
		return nil, err
	}
	pl := &plan{head: head, headVersion: version}
	for _, doc := range pub.Documents {
		doc.File = ""
		entry := VersionedDocument{Document: doc, Version: head.Revision + 1, Author: pub.Author, AtMS: p.Now().UnixMilli()}
		change := Change{VersionedDocument: entry, Revision: head.Revision + 1}
		if err := p.add(ctx, pl, doc.ID(), change, pub.BaseRevision); err != nil {
			return nil, err
		}
	}
	for _, id := range pub.Removed {
		kind, name, _ := strings.Cut(id, "/")
		if kind == "job" {
			kind = KindService
		}
		doc := Document{Kind: kind, Name: name}
		entry := VersionedDocument{Document: doc, Version: head.Revision + 1, Author: pub.Author, AtMS: p.Now().UnixMilli()}
		change := Change{VersionedDocument: entry, Revision: head.Revision + 1, Deleted: true}
		if err := p.add(ctx, pl, id, change, pub.BaseRevision); err != nil {
			return nil, err
		}
	}
	return pl, nil
}

// add puts one change into the plan, or a conflict, or nothing when the document is the same.
func (p *Publisher) add(ctx context.Context, pl *plan, id string, change Change, base int64) error {
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
	if !found && base < pl.head.Revision {
		if old, err = p.removal(ctx, pl, id, base); err != nil {
			return err
		}
	}
	if old.Version > base {
		c := Conflict{Document: id, ChangedBy: old.Author, AtMS: old.AtMS, Revision: old.Version}
		pl.conflicts = append(pl.conflicts, c)
		return nil
	}
	pl.checks = append(pl.checks, table.Check{Key: docPrefix + id, Version: row.Version})
	pl.changes = append(pl.changes, change)
	return nil
}

// removal returns the entry of the document's removal after base, which only the log shows;
// without it, a document that another operator removed would come back unnoticed.
func (p *Publisher) removal(ctx context.Context, pl *plan, id string, base int64) (VersionedDocument, error) {
	if pl.removals != nil {
		return pl.removals[id], nil
	}
	pl.removals = make(map[string]VersionedDocument)
	oldest := max(base, pl.head.Revision-keptRevisions)
	for revision := oldest + 1; revision <= pl.head.Revision; revision++ {
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

func (pl *plan) commit() (table.Transaction, error) {
	revision := pl.head.Revision + 1
	c := table.Transaction{Checks: append(pl.checks, table.Check{Key: headKey, Version: pl.headVersion})}
	for _, change := range pl.changes {
		if change.Deleted {
			c.Deletes = append(c.Deletes, docPrefix+change.ID())
			continue
		}
		text, err := json.Marshal(change.VersionedDocument)
		if err != nil {
			return c, errors.Wrap(err, "config: unable to encode document")
		}
		c.Puts = append(c.Puts, table.Put{Key: docPrefix + change.ID(), Value: text})
	}
	entry, err := json.Marshal(pl.changes)
	if err != nil {
		return c, errors.Wrap(err, "config: unable to encode changes")
	}
	head, err := json.Marshal(Head{Revision: revision})
	if err != nil {
		return c, errors.Wrap(err, "config: unable to encode head")
	}
	c.Puts = append(c.Puts, table.Put{Key: logKey(revision), Value: entry}, table.Put{Key: headKey, Value: head})
	if revision > keptRevisions {
		c.Deletes = append(c.Deletes, logKey(revision-keptRevisions))
	}
	return c, nil
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
