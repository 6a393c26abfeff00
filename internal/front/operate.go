package front

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
)

const (
	// HeaderAuthor names the operator that makes a change.
	HeaderAuthor = "Daisyrack-Author"

	// maxPublishBytes bounds a publication with its JSON framing.
	maxPublishBytes = 1 << 20

	bearer = "Bearer "
)

// ConfigResponse is the response body of GET /v1/config.
type ConfigResponse struct {
	Revision  int64                      `json:"revision"`
	Documents []config.VersionedDocument `json:"documents"`
}

// authorize lets changes pass that carry the operators' token.
func (f *Server) authorize(c *gin.Context) {
	token, err := f.OperatorToken()
	if err != nil {
		c.AbortWithStatusJSON(http.StatusServiceUnavailable, gin.H{"reason": "the operators' token can not be read"})
		return
	}
	given, _ := strings.CutPrefix(c.GetHeader("Authorization"), bearer)
	if token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
		c.AbortWithStatusJSON(http.StatusUnauthorized, gin.H{"reason": "the operators' token is missing or wrong"})
	}
}

func author(c *gin.Context) string {
	if name := c.GetHeader(HeaderAuthor); name != "" {
		return name[:min(len(name), maxNameBytes)]
	}
	return "unknown"
}

func (f *Server) serveConfig(c *gin.Context) {
	s := f.Config.Current()
	answer := ConfigResponse{Revision: s.Revision}
	for _, change := range s.Changes() {
		answer.Documents = append(answer.Documents, change.VersionedDocument)
	}
	c.JSON(http.StatusOK, answer)
}

// decode reads a JSON body without unknown fields; on a fault it answers 400.
func decode(c *gin.Context, limit int64, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"reason": "the body is not as expected: " + err.Error()})
		return false
	}
	return true
}

var publishStatus = map[config.PublishOutcome]int{
	config.Published:   http.StatusOK,
	config.Unchanged:   http.StatusOK,
	config.Invalid:     http.StatusBadRequest,
	config.Conflicting: http.StatusConflict,
	config.Unavailable: http.StatusServiceUnavailable,
	config.Unknown:     http.StatusGatewayTimeout,
}

func (f *Server) servePublish(c *gin.Context) {
	var p config.Publication
	if !decode(c, maxPublishBytes, &p) {
		return
	}
	p.Author = author(c)
	res := f.Publish(c.Request.Context(), p)
	c.JSON(publishStatus[res.Outcome], res)
}

var replyStatus = map[string]int{
	sched.ReplyAccepted: http.StatusOK,
	sched.ReplyExists:   http.StatusOK,
	sched.ReplyRefused:  http.StatusServiceUnavailable,
	sched.ReplyNotFound: http.StatusNotFound,
	sched.ReplyUnknown:  http.StatusGatewayTimeout,
}

func sendReply(c *gin.Context, r sched.Reply) {
	c.JSON(replyStatus[r.Outcome], r)
}

func (f *Server) serveSubmit(c *gin.Context) {
	text, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, config.MaxDocumentBytes))
	if err != nil {
		c.JSON(http.StatusRequestEntityTooLarge, gin.H{"reason": "the job is too large"})
		return
	}
	doc, faults := config.Parse("job", text)
	if len(faults) == 0 && !config.IsJobKind(doc.Kind) {
		faults = []config.Violation{{File: "job", Field: "kind", Value: doc.Kind, Allowed: "service, batch or all_at_once"}}
	}
	if len(faults) > 0 {
		c.JSON(http.StatusBadRequest, gin.H{"outcome": sched.ReplyRefused, "faults": faults})
		return
	}
	var j config.Job
	if err := json.Unmarshal(text, &j); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"reason": err.Error()})
		return
	}
	sendReply(c, f.SubmitJob(c.Request.Context(), j.WithDefaults(), author(c)))
}

func (f *Server) serveCancel(c *gin.Context) {
	sendReply(c, f.CancelJob(c.Request.Context(), c.Param("name"), author(c)))
}

func (f *Server) serveJob(c *gin.Context) {
	sendReply(c, f.DescribeJob(c.Request.Context(), c.Param("name")))
}

func (f *Server) serveStatus(c *gin.Context) {
	c.JSON(http.StatusOK, f.Status(c.Request.Context()))
}

func (f *Server) serveEvents(c *gin.Context) {
	filter := event.Filter{
		Job:      c.Query("job"),
		Request:  c.Query("request"),
		Worker:   c.Query("worker"),
		Instance: c.Query("instance"),
		Backend:  c.Query("backend"),
		Kind:     c.Query("kind"),
	}
	events := f.Events(c.Request.Context(), filter)
	if c.Query("format") != "chrome" {
		c.JSON(http.StatusOK, gin.H{"events": events})
		return
	}
	c.Header("Content-Type", "application/json")
	if err := event.WriteChrome(c.Writer, events); err != nil {
		_ = c.Error(err)
	}
}
