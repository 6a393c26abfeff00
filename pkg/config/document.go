package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDocumentBytes is the maximum size of one document.
	MaxDocumentBytes = 64 << 10

	// MaxPublicationDocuments is the maximum number of documents in one publication, so that its
	// checks and writes fit one table transaction of at most 128 rows.
	MaxPublicationDocuments = 60

	// MaxPublicationBytes is the maximum total size of the documents in one publication. A table
	// transaction holds 256 KB and contains each document twice: as document row and in the log
	// row.
	MaxPublicationBytes = 110 << 10
)

// Document is one configuration document; Body is its complete JSON text.
type Document struct {
	File string          `json:"file,omitempty"`
	Kind string          `json:"kind"`
	Name string          `json:"name"`
	Body json.RawMessage `json:"body"`
}

// ID returns the document id KIND/NAME. The kinds of jobs share one name space, with kind "job".
func (d Document) ID() string {
	return documentID(d.Kind, d.Name)
}

func documentID(kind, name string) string {
	if IsJobKind(kind) {
		kind = "job"
	}
	return kind + "/" + name
}

var validators = sync.OnceValue(func() map[string]*Validator {
	m := make(map[string]*Validator)
	for _, name := range []string{"job", KindRoute, KindLimits} {
		text, _ := Schema(name)
		c, err := NewValidator(text)
		if err != nil {
			panic(err) // the schemas are embedded in the binary
		}
		m[name] = c
	}
	return m
})

// Parse validates the text of one document and returns the document with all violations found. File
// is only used to label them.
func Parse(file string, text []byte) (Document, []Violation) {
	if len(text) > MaxDocumentBytes {
		return Document{}, []Violation{{
			File:    file,
			Value:   fmt.Sprintf("%d bytes", len(text)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
		}}
	}
	var head struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return Document{}, []Violation{{File: file, Value: err.Error(), Allowed: "one JSON object"}}
	}
	validator := validatorFor(head.Kind)
	if validator == nil {
		return Document{}, []Violation{{
			File:    file,
			Field:   "kind",
			Value:   fmt.Sprintf("%q", head.Kind),
			Allowed: "service, batch, all_at_once, route or limits",
		}}
	}
	doc := Document{File: file, Kind: head.Kind, Name: head.Name, Body: text}
	violations := validator.Check(file, text)
	if len(violations) == 0 {
		violations = checkSemantics(doc)
	}
	return doc, violations
}

func validatorFor(kind string) *Validator {
	if IsJobKind(kind) {
		kind = "job"
	}
	return validators()[kind]
}

// checkSemantics reports violations that the schema cannot express: numbers that do not fit their
// Go type, and a payload that is too large.
func checkSemantics(doc Document) []Violation {
	var j Job
	var err error
	switch doc.Kind {
	case KindRoute:
		err = json.Unmarshal(doc.Body, &Route{})
	case KindLimits:
		err = json.Unmarshal(doc.Body, &Limits{})
	default:
		err = json.Unmarshal(doc.Body, &j)
	}
	if err != nil {
		return []Violation{DecodeViolation(doc.File, err)}
	}
	if len(j.Payload) > MaxPayloadBytes {
		return []Violation{{
			File:    doc.File,
			Field:   "payload",
			Value:   fmt.Sprintf("%d bytes", len(j.Payload)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxPayloadBytes),
		}}
	}
	return nil
}

// ReadDir reads and validates every .json file in dir and its subdirectories.
func ReadDir(dir string) ([]Document, []Violation, error) {
	files, err := jsonFiles(dir)
	if err != nil {
		return nil, nil, err
	}
	var docs []Document
	var violations []Violation
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, errors.Wrap(err, "config: unable to read document")
		}
		doc, found := Parse(file, text)
		docs = append(docs, doc)
		violations = append(violations, found...)
	}
	if len(violations) == 0 {
		violations = ValidateSet(docs)
	}
	return docs, violations, nil
}

func jsonFiles(dir string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && strings.HasSuffix(path, ".json") {
			files = append(files, path)
		}
		return nil
	})
	sort.Strings(files)
	return files, errors.Wrapf(err, "config: unable to list documents of %s", dir)
}

// ValidateSet reports violations that only show when documents are published together: duplicate
// names, too many documents, too many bytes.
func ValidateSet(docs []Document) []Violation {
	var violations []Violation
	fileByID := make(map[string]string)
	total := 0
	for _, doc := range docs {
		total += len(doc.Body)
		if other, ok := fileByID[doc.ID()]; ok {
			violations = append(violations, Violation{
				File:    doc.File,
				Field:   "name",
				Value:   fmt.Sprintf("%q", doc.Name),
				Allowed: "a name not used by " + other,
			})
			continue
		}
		fileByID[doc.ID()] = doc.File
	}
	if len(docs) > MaxPublicationDocuments {
		violations = append(violations, Violation{
			Value:   fmt.Sprintf("%d documents", len(docs)),
			Allowed: fmt.Sprintf("at most %d in one publication", MaxPublicationDocuments),
		})
	}
	if total > MaxPublicationBytes {
		violations = append(violations, Violation{
			Value:   fmt.Sprintf("%d bytes in sum", total),
			Allowed: fmt.Sprintf("at most %d in one publication", MaxPublicationBytes),
		})
	}
	return violations
}
